import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of one service. It registers itself and runs what [work] says. */
final class Replica {
    interface Work {
        /** Runs [request] and writes the answer to [out]. */
        void run(Replica replica, Http.Message request, OutputStream out) throws IOException;
    }

    final String id;
    final String service;
    final String zone;
    private final ServerSocket server;
    private final Work work;
    private final long born = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    private volatile boolean leaving;

    Replica(String id, String service, String zone, Store store, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.work = work;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(this::accept);
        Lab.daemon(() -> {
            for (int sequence = 1; ; sequence++) {
                store.put("servers/" + id, entry(sequence));
                Lab.sleep(1_200);
            }
        });
    }

    /** Reports that this server leaves; it goes on serving. */
    void leave(Store store) {
        leaving = true;
        store.put("servers/" + id, entry(1_000_000));
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private String entry(int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":96,\"state\":\"" + (leaving ? "draining" : "ready")
                + "\",\"cold-left-ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Lab.daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.message(in);
                if (request == null) return;
                String expected = request.field("Expect-Replica");
                if (expected != null && !expected.equals(id)) {
                    answer(out, request, 421, "Not-Executed: 1\r\n", new byte[0]);
                    continue;
                }
                running.incrementAndGet();
                try {
                    work.run(this, request, out);
                } finally {
                    running.decrementAndGet();
                }
            }
        } catch (IOException closed) {
            // The caller closed its connection.
        }
    }

    /** Writes an answer with its length, which is the answer of this server if it is sealed. */
    static void answer(OutputStream out, Http.Message request, int status, String fields, byte[] body)
            throws IOException {
        String id = request.field("Attempt-Id");
        String head = "HTTP/1.1 " + status + " X\r\n" + (id == null ? "" : "Attempt-Id: " + id + "\r\n")
                + fields + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = Http.bytes(head);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }
}
