import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A server of a service of stages: one slot, a queue of two calls, 200 ms a call and 21 ms a piece. */
final class StageReplica {
    private static final Pattern ITEM = Pattern.compile("\"id\":\"([^\"]*)\",\"stage\":([0-9]+),\"piece\":([0-9]+)");

    private final String id;
    private final ServerSocket server;
    private final ReentrantLock slot = new ReentrantLock(true);
    private final AtomicInteger present = new AtomicInteger();

    /** Ids of the requests of which this server has begun a piece. */
    final Set<String> begun = ConcurrentHashMap.newKeySet();

    StageReplica(String id, String service, String zone, Store store) throws IOException {
        this.id = id;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Lab.daemon(() -> serve(socket));
            }
        });
        Lab.daemon(() -> {
            for (int sequence = 1; ; sequence++) {
                store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
                        + "\"cold-left-ms\":0,\"sequence\":" + sequence + "}");
                Lab.sleep(1_200);
            }
        });
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message call = Http.message(in);
                if (call == null) return;
                if (!id.equals(call.field("Expect-Replica"))) {
                    Replica.answer(out, call, 421, "Not-Executed: 1\r\n", new byte[0]);
                } else if (call.target().equals("/stage-run")) {
                    run(call, out);
                } else {
                    Replica.answer(out, call, 200, "", Http.bytes("{}"));
                }
            }
        } catch (IOException closed) {
            // The caller closed its connection.
        }
    }

    private void run(Http.Message call, OutputStream out) throws IOException {
        if (present.get() >= 3) {
            Replica.answer(out, call, 503, "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        present.incrementAndGet();
        List<String> results = new ArrayList<>();
        slot.lock();
        try {
            Matcher items = ITEM.matcher(call.text());
            List<String> pieces = new ArrayList<>();
            while (items.find()) {
                begun.add(items.group(1));
                pieces.add(items.group(1) + "/" + items.group(2) + "/" + items.group(3));
                results.add("{\"handle\":\"" + address() + "/"
                        + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 16) + "\"}");
            }
            Lab.log(id + " works on " + String.join(" ", pieces));
            Lab.sleep(200 + 21L * results.size());
        } finally {
            slot.unlock();
            present.decrementAndGet();
        }
        Replica.answer(out, call, 200, "Content-Type: application/json\r\nReplica-Load: 0," + present.get() + ",1\r\n",
                Http.bytes("{\"items\":[" + String.join(",", results) + "]}"));
    }
}
