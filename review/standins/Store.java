import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store, as PROTOCOL.md tells it: items, ranges, watches, leases. */
final class Store {
    private record Item(String key, String value, long rev, long created, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"rev\":" + rev
                    + ",\"created\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long rev, String json, long at) {}

    private static final int HISTORY_MILLIS = 20_000;
    private static final Pattern CONDITION =
            Pattern.compile("\\{\"key\":\"([^\"]*)\",\"rev\":([0-9]+)\\}");
    private static final Pattern WRITE =
            Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":([0-9]+)\\}");

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final ServerSocket server;
    private long revision = 100;
    private long lastLease = 1000;
    private long forgotten;

    /** Bytes that a connection carries in a millisecond, as over the link of a machine; 0: all. */
    volatile int bytesPerMilli;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(this::accept);
        Lab.daemon(this::expire);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized long put(String key, String value) {
        return write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        events.add(new Event(key, revision,
                "{\"key\":\"" + key + "\",\"rev\":" + revision + ",\"deleted\":true}", Lab.now()));
        notifyAll();
    }

    synchronized List<String> keys(String prefix) {
        List<String> found = new ArrayList<>();
        for (String key : items.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) break;
            found.add(key);
        }
        return found;
    }

    private synchronized long write(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        events.add(new Event(key, revision, item.json(), Lab.now()));
        notifyAll();
        return revision;
    }

    private void expire() {
        while (true) {
            Lab.sleep(50);
            synchronized (this) {
                long now = Lab.now();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease[1] <= now) ended.add(id);
                });
                ended.forEach(this::end);
            }
        }
    }

    private synchronized void end(long lease) {
        leases.remove(lease);
        List<String> held = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease == lease) held.add(item.key);
        });
        held.forEach(this::remove);
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
                Http.Message call = Http.message(in);
                if (call == null) return;
                Lab.sleep(4);
                String[] answer = answer(call);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                out.write(Http.bytes("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n"));
                send(out, body);
            }
        } catch (IOException closed) {
            // The caller closed its connection.
        }
    }

    private void send(OutputStream out, byte[] body) throws IOException {
        int rate = bytesPerMilli;
        long begun = Lab.now();
        for (int sent = 0; sent < body.length; ) {
            int count = rate == 0 ? body.length : Math.min(4_096, body.length - sent);
            out.write(body, sent, count);
            out.flush();
            sent += count;
            if (rate > 0) Lab.sleep(begun + sent / rate - Lab.now());
        }
    }

    private String[] answer(Http.Message call) {
        String target = call.target();
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (path.equals("/kv-range")) return range(query);
        if (path.equals("/kv-watch")) return watch(query);
        if (path.equals("/kv-txn")) return transaction(call.text());
        if (path.equals("/kv-lease")) return grant(call.text());
        if (path.startsWith("/kv-keep/")) return renew(Long.parseLong(path.substring(9)));
        if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring(14)));
            return new String[] {"200", "{}"};
        }
        return new String[] {"404", "{}"};
    }

    private synchronized String[] range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (!item.key.startsWith(prefix)) continue;
            if (found.size() == 500) {
                more = true;
                break;
            }
            found.add(item.json());
        }
        return new String[] {"200", "{\"items\":[" + String.join(",", found) + "],\"more-pages\":" + more
                + ",\"current-rev\":" + revision + "}"};
    }

    private synchronized String[] watch(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = Lab.now() + Long.parseLong(query.get("wait-ms"));
        while (true) {
            while (!events.isEmpty() && events.get(0).at < Lab.now() - HISTORY_MILLIS) {
                forgotten = events.remove(0).rev;
            }
            if (after < forgotten) return new String[] {"410", "{}"};
            List<String> found = new ArrayList<>();
            for (int index = events.size() - 1; index >= 0 && events.get(index).rev > after; index--) {
                if (events.get(index).key.startsWith(prefix)) found.add(0, events.get(index).json);
            }
            long left = end - Lab.now();
            if (!found.isEmpty() || left <= 0) {
                return new String[] {"200", "{\"events\":[" + String.join(",", found)
                        + "],\"current-rev\":" + revision + "}"};
            }
            try {
                wait(left);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
    }

    private synchronized String[] transaction(String body) {
        int split = body.indexOf("\"set-keys\"");
        Matcher conditions = CONDITION.matcher(body.substring(0, split));
        while (conditions.find()) {
            Item item = items.get(conditions.group(1));
            if ((item == null ? 0 : item.rev) != Long.parseLong(conditions.group(2))) {
                String now = item == null ? "" : item.json();
                return new String[] {"412", "{\"items\":[" + now + "]}"};
            }
        }
        Matcher writes = WRITE.matcher(body.substring(split));
        while (writes.find()) {
            long lease = Long.parseLong(writes.group(3));
            if (lease != 0 && !leases.containsKey(lease)) return new String[] {"404", "{}"};
            write(writes.group(1), writes.group(2), lease);
        }
        return new String[] {"200", "{\"rev\":" + revision + "}"};
    }

    private synchronized String[] grant(String body) {
        long ttl = Math.max(1000, Long.parseLong(body.replaceAll("[^0-9]", "")));
        long id = ++lastLease;
        leases.put(id, new long[] {ttl, Lab.now() + ttl});
        return new String[] {"200", "{\"lease\":" + id + ",\"ttl-ms\":" + ttl + "}"};
    }

    private synchronized String[] renew(long id) {
        long[] lease = leases.get(id);
        if (lease == null) return new String[] {"404", "{}"};
        lease[1] = Lab.now() + lease[0];
        return new String[] {"200", "{\"ttl-ms\":" + lease[0] + "}"};
    }
}
