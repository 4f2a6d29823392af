import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** What all cases share: the record, the addresses, the processes of the system and their end. */
final class Run {
    interface Task {
        void run() throws Exception;
    }

    private static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffffL);
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path ROOT = Path.of(System.getProperty("root"));
    static final Path CASE = Path.of(System.getProperty("case"));
    static final Path TEMPORARY = temporary();
    private static PrintWriter record;

    private Run() {}

    private static Path temporary() {
        try {
            return Files.createTempDirectory("review-2-");
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static void deleteTemporary() {
        File[] files = TEMPORARY.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        TEMPORARY.toFile().delete();
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException ended) {
                // The other side closed its connection, or the case has ended.
            } catch (Throwable failure) {
                record("stand-in failed in " + name + ": " + failure);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static synchronized void record(String line) {
        if (record == null) {
            try {
                record = new PrintWriter(Files.newBufferedWriter(CASE.resolve("record.txt")), true);
            } catch (IOException failure) {
                throw new IllegalStateException(failure);
            }
        }
        record.println(String.format("%7d ms  %s", millis(), line));
    }

    static String id() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** A loopback address of this run, so that fixed ports of several hosts do not collide. */
    static String ip(int number) {
        long process = ProcessHandle.current().pid();
        return "127." + (1 + process / 250 % 250) + "." + (1 + process % 250) + "." + number;
    }

    /** Different free ports of an address. */
    static int[] freePorts(String ip, int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket();
                held.add(socket);
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
                ports[i] = socket.getLocalPort();
            }
        } finally {
            for (ServerSocket socket : held) socket.close();
        }
        return ports;
    }

    static Http connect(String ip, int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1_000);
        return new Http(socket);
    }

    /** A process of the system, started by the command of the deploy file. */
    static final class Host {
        final String name;
        final String ip;
        final String zone;
        final int front;
        final int ready;
        private final Path settings;
        private final int internal;
        private final String store;
        Process process;

        Host(String name, String zone, String ip, String store) throws IOException {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.store = store;
            int[] ports = freePorts(ip, 3);
            front = ports[0];
            ready = ports[1];
            internal = ports[2];
            settings = TEMPORARY.resolve(name + ".json");
            settings(8.0);
            start();
        }

        void settings(double graceSeconds) throws IOException {
            Map<String, Object> bounds = Json.map("seed-lag-s", 3, "reuse-after-s", 2, "contact-ms",
                3000, "ack-ms", 4000, "catch-up-s", 4, "drain-ms", 2000, "grace-s", graceSeconds,
                "loss-slack-ms", 200, "config-ms", 2000, "downgrade-ms", 250, "outer-ms", 5000,
                "strict-revoke", true, "revoke-ms", 5000, "retry-budget-ratio", 0.2,
                "budget-window-s", 10, "budget-extra", 56, "recover-s", 12, "pass-ms", 120,
                "reuse-window-s", 8.8);
            Map<String, Object> all = Json.map("node", name, "role", "forwarding-host",
                "machine-class", "edge", "serves", List.of("edge"), "ip", ip, "zone", zone, "region",
                "cairo", "zones", Json.map(zone, "cairo"), "listen",
                Json.map("front", ip + ":" + front, "ready-address", ip + ":" + ready),
                "internal-ports", List.of(internal, internal), "seeds", List.of(), "bootstrap", true,
                "limits", Json.map("cpu-share", 0.75, "cores", 1, "memory-mb", 430, "max-fds", 4100,
                    "link-mbps", 1000.0, "disk-mb", 0), "data-dir", null, "heartbeat-ms", 1200,
                "tolerate", Json.map("machines", 2, "zones", 1, "regions", 0), "bounds", bounds,
                "platform", Json.map("address", store, "form", "kv", "writes-per-s", 400,
                    "reads-per-s", 2000, "history-s", 20, "value-bytes", 1048576, "ttl-min-ms", 1000));
            Path next = TEMPORARY.resolve(name + ".next");
            Files.writeString(next, Json.write(all));
            Files.move(next, settings, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            String run = Files.readAllLines(ROOT.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.directory(ROOT.toFile());
            builder.environment().put("SAPPHIRELEVER_SETTINGS", settings.toString());
            File log = TEMPORARY.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            process = builder.start();
            synchronized (PROCESSES) {
                PROCESSES.add(process);
            }
        }

        boolean isReady() {
            try (Http http = connect(ip, ready)) {
                http.socket.setSoTimeout(1_000);
                http.write("GET /readyz HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n");
                Http.Message head = http.head();
                return head != null && head.status() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            for (int i = 0; i < 300; i++) {
                if (isReady()) return;
                Thread.sleep(100);
            }
            throw new IllegalStateException(name + " did not become ready");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            record("host " + name + " gets SIG" + signal);
        }

        List<String> log() throws IOException {
            return Files.readAllLines(TEMPORARY.resolve(name + ".log"));
        }
    }

    /** Ends all processes and exits with the code of the case. */
    static void end(int code, String verdict) {
        record(verdict);
        System.out.println(verdict);
        System.exit(code);
    }

    private static void endProcesses() {
        synchronized (PROCESSES) {
            PROCESSES.forEach(Process::destroyForcibly);
            for (Process process : PROCESSES) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException stopped) {
                    return;
                }
            }
        }
        if (System.getProperty("keep") == null) deleteTemporary();
    }

    /** Runs {@code task}; a failure of the case itself ends with 2. */
    static void main(Task task) {
        Runtime.getRuntime().addShutdownHook(new Thread(Run::endProcesses));
        try {
            task.run();
            end(2, "the case gave no verdict");
        } catch (Throwable failure) {
            failure.printStackTrace();
            end(2, "the case could not run: " + failure);
        }
    }
}
