import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What all cases share: time, the record, and the entry hosts, which run as processes. */
final class Lab {
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    /** Exit code for a broken rule; run.sh makes 1 of it. */
    private static final int BROKEN = 10;

    private Lab() {}

    /** Milliseconds since the start of the case, on the steady clock. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception failure) {
                log("task failed: " + failure);
            }
        }, "task", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Writes a line with its time to record.txt and to the standard output. */
    static synchronized void log(String line) {
        String timed = String.format("%8d %s", now(), line);
        if (record != null) {
            record.println(timed);
            record.flush();
        }
    }

    interface Case {
        /** Starts what it needs in [folder], adds its hosts to [hosts], and returns the exit code. */
        int run(Path folder, List<Host> hosts, boolean trouble) throws Exception;
    }

    /** Runs [tried] with the record in [file], and ends the process with its exit code. */
    static void run(String file, Case tried) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
        Path folder = Files.createTempDirectory("case");
        List<Host> hosts = new ArrayList<>();
        daemon(() -> {
            sleep(110_000);
            say("not finished in time");
            Runtime.getRuntime().halt(endAll(hosts));
        });
        int code = 2;
        try {
            code = tried.run(folder, hosts, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception failure) {
            say("could not run: " + failure);
        }
        end(hosts, folder);
        System.exit(code == 1 ? BROKEN : code);
    }

    private static int endAll(List<Host> hosts) {
        for (Host host : hosts) if (host.process != null) host.process.destroyForcibly();
        return 2;
    }

    /** Starts [count] hosts in one zone and waits until they are ready. */
    static void start(int count, Store store, Path folder, List<Host> hosts) throws IOException {
        for (int number = 1; number <= count; number++) {
            Host host = new Host("edge-krakow-a-" + number, "krakow-a", store, folder);
            hosts.add(host);
            host.start();
        }
        for (Host host : hosts) if (!host.awaitReady()) throw new IOException(host.name + " isn't ready");
    }

    static synchronized void say(String line) {
        System.out.println(line);
        log(line);
    }

    /** A port that is free now on the loopback address [ip]. */
    static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    /** One entry host, run by the command of the deploy file. */
    static final class Host {
        final String name;
        final String ip = "127.0.0.1";
        final int front;
        final int ready;
        private final int metrics;
        private final int peers;
        private final Path settings;
        private final Path output;
        private final String zone;
        Process process;

        Host(String name, String zone, Store store, Path folder) throws IOException {
            this.name = name;
            this.zone = zone;
            front = freePort(ip);
            ready = freePort(ip);
            metrics = freePort(ip);
            peers = freePort(ip);
            settings = folder.resolve(name + ".json");
            output = folder.resolve(name + ".log");
            Files.writeString(settings, settingsJson(store.address()));
        }

        private String settingsJson(String store) {
            return "{\"node\":\"" + name + "\",\"role\":\"forwarding-host\",\"machine-class\":\"edge\","
                    + "\"serves\":[\"edge\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"malopolska\","
                    + "\"listen\":{\"front\":\"" + ip + ":" + front + "\",\"ready-address\":\"" + ip + ":" + ready + "\"},"
                    + "\"internal-ports\":[" + peers + "," + peers + "],\"bootstrap\":true,"
                    + "\"limits\":{\"cpu-share\":0.75,\"cores\":1,\"memory-mb\":430,\"max-fds\":4100,"
                    + "\"link-mbps\":1000.0,\"disk-mb\":0},\"heartbeat-ms\":1200,"
                    + "\"bounds\":{\"contact-ms\":3000,\"ack-ms\":4000,\"drain-ms\":2000,\"grace-s\":8,"
                    + "\"loss-slack-ms\":200,\"config-ms\":2000,\"downgrade-ms\":250,\"outer-ms\":5000,"
                    + "\"strict-revoke\":true,\"revoke-ms\":5000,\"retry-budget-ratio\":0.2,"
                    + "\"budget-window-s\":10,\"budget-extra\":52,\"recover-s\":12},"
                    + "\"platform\":{\"address\":\"" + store + "\",\"form\":\"kv\",\"writes-per-s\":400,"
                    + "\"reads-per-s\":2000,\"history-s\":20,\"value-bytes\":1048576,\"ttl-min-ms\":1000}}";
        }

        void start() throws IOException {
            Path root = Path.of("").toAbsolutePath();
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(7, line.lastIndexOf('"'));
            }
            List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("SAPPHIRELEVER_SETTINGS", settings.toString());
            environment.put("SAPPHIRELEVER_METRICS_PORT", String.valueOf(metrics));
            builder.directory(root.toFile()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            log("host " + name + " started, pid " + process.pid());
        }

        /** Waits until the readiness address answers 200; false if it doesn't within 30 s. */
        boolean awaitReady() {
            long end = now() + 30_000;
            while (now() < end) {
                if (isReady()) return true;
                sleep(100);
            }
            return false;
        }

        boolean isReady() {
            try (Client probe = new Client(ip, ready, 2_000)) {
                probe.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", new byte[0]);
                return probe.receive().status() == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        void signal(String name) throws IOException {
            log("host " + this.name + ": SIG" + name);
            try {
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        List<String> lines() throws IOException {
            return Files.readAllLines(output);
        }
    }

    /** Kills what is left of [hosts] and deletes their folder. */
    private static void end(List<Host> hosts, Path folder) throws Exception {
        for (Host host : hosts) {
            if (host.process == null) continue;
            host.process.destroyForcibly();
            host.process.waitFor(5, TimeUnit.SECONDS);
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
