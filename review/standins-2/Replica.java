import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of one service, which registers itself and answers through a handler. */
final class Replica {
    /** Answers a request that this replica runs. */
    interface Handler {
        void run(Replica replica, Http http, Http.Message request) throws Exception;
    }

    private static final int BACKLOG = 16;
    private static final Queue<SocketChannel> FILLERS = new ConcurrentLinkedQueue<>();

    final String id;
    final String service;
    final String zone;
    final String address;
    final int slots;
    final AtomicInteger running = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean beats = true;
    private volatile boolean isDark;
    final long born = System.currentTimeMillis();
    private final Store store;
    private final ServerSocket server;
    private final Handler handler;
    private int sequence;

    Replica(Store store, String id, String service, String zone, String ip, int slots, Handler handler)
        throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.handler = handler;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), BACKLOG);
        address = ip + ":" + server.getLocalPort();
        Run.thread(id, this::accept);
        Run.thread(id + "-beats", this::beat);
    }

    /** The entry as this replica would write it now, with the next number. */
    synchronized String entry() {
        Map<String, Object> entry = Json.map("service", service, "address", address, "zone", zone,
            "version", "v1", "slots", slots, "state", state, "cold-left-ms", 0, "born", born,
            "sequence", ++sequence);
        return Json.write(entry);
    }

    synchronized int sequence() {
        return sequence;
    }

    void write() {
        store.put("servers/" + id, entry());
    }

    private void beat() throws Exception {
        while (true) {
            if (beats) write();
            Thread.sleep(1_200);
        }
    }

    /** The process ends: no beats, and no listener at its address. */
    void stop() throws IOException {
        beats = false;
        server.close();
    }

    /** The machine loses power: no beats, open connections stay silent, and new ones hang. */
    void goDark() throws IOException {
        beats = false;
        isDark = true;
        // A full queue of new connections drops further ones, as a machine without power does.
        for (int i = 0; i < 2 * BACKLOG; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(server.getLocalSocketAddress());
            FILLERS.add(channel);
        }
    }

    private void accept() throws Exception {
        while (true) {
            Socket socket = server.accept();
            while (isDark) Thread.sleep(1_000);
            Run.thread(id + "-connection", () -> serve(socket));
        }
    }

    String load() {
        return "Replica-Load: " + running.get() + ",0," + slots + "\r\n";
    }

    private void serve(Socket socket) throws Exception {
        try (Http http = new Http(socket)) {
            while (!socket.isClosed()) {
                Http.Message request = http.head();
                if (request == null) return;
                http.body(request, false);
                if (!request.complete) return;
                while (isDark) Thread.sleep(1_000);
                String expected = request.get("Expect-Replica");
                if (expected != null && !expected.equals(id)) {
                    http.answer(421, "Replica-Id: " + id + "\r\n", "");
                    continue;
                }
                running.incrementAndGet();
                Run.record("run at " + id + " " + request.method() + " " + request.target() + " "
                    + (request.get("Attempt-Id") == null ? request.text() : request.get("Attempt-Id")));
                try {
                    handler.run(this, http, request);
                } finally {
                    running.decrementAndGet();
                }
            }
        }
    }

    /** A complete answer with its seal. */
    void answer(Http http, Http.Message request, int status, String body) throws IOException {
        http.answer(status, "Attempt-Id: " + request.get("Attempt-Id") + "\r\nReplica-Seal: "
            + seal(request, body) + "\r\n" + load(), body);
    }

    static String seal(Http.Message request, String body) {
        return Integer.toHexString((request.get("Attempt-Id") + body).hashCode());
    }
}
