import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as the page of the protocols describes it. */
final class Store {
    private record Item(String value, long rev, long created, long lease) {}

    private record Event(String key, Item item, long rev) {}

    private static final class Lease {
        long ttlMillis;
        long endsAt;
    }

    final String address;
    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 1_000;

    Store(String ip) throws IOException {
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 256);
        address = ip + ":" + server.getLocalPort();
        Run.thread("store", this::accept);
        Run.thread("leases", this::expire);
    }

    /** Writes of the operator and of replicas; returns when the store has acknowledged them. */
    synchronized long put(String key, String value) {
        return set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.add(new Event(key, null, revision));
        notifyAll();
    }

    synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    synchronized long count(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private long set(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(key, item, revision));
        notifyAll();
        return revision;
    }

    private void accept() throws Exception {
        while (true) {
            Socket socket = server.accept();
            Run.thread("store-connection", () -> serve(socket));
        }
    }

    private void expire() throws Exception {
        while (true) {
            Thread.sleep(50);
            synchronized (this) {
                long now = Run.millis();
                for (long lease : new ArrayList<>(leases.keySet())) {
                    if (leases.get(lease).endsAt <= now) end(lease);
                }
            }
        }
    }

    private synchronized void end(long lease) {
        if (leases.remove(lease) == null) return;
        for (String key : new ArrayList<>(items.keySet())) {
            if (items.get(key).lease() == lease) delete(key);
        }
    }

    private void serve(Socket socket) throws Exception {
        try (Http http = new Http(socket)) {
            while (true) {
                Http.Message request = http.head();
                if (request == null) return;
                http.body(request, false);
                Thread.sleep(4);
                String[] target = request.target().split("\\?", 2);
                Map<String, String> query = query(target.length > 1 ? target[1] : "");
                Object[] answer = answer(request.method() + " ", target[0], query, request.text());
                http.answer((Integer) answer[0], "Content-Type: application/json\r\n",
                    Json.write(answer[1]));
            }
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private Object[] answer(String method, String path, Map<String, String> query, String body)
        throws InterruptedException {
        if (path.equals("/kv-key")) return key(query.get("key"));
        if (path.equals("/kv-range")) return range(query);
        if (path.equals("/kv-watch")) return watch(query);
        if (path.equals("/kv-txn")) return transaction(Json.object(body));
        if (path.equals("/kv-lease")) return grant(Json.object(body));
        if (path.startsWith("/kv-keep/")) return keep(Long.parseLong(path.substring(9)));
        if (path.startsWith("/kv-lease-end/")) {
            end(Long.parseLong(path.substring(14)));
            return new Object[] {200, Json.map()};
        }
        return new Object[] {404, Json.map()};
    }

    private synchronized Object[] key(String key) {
        Item item = items.get(key);
        if (item == null) return new Object[] {404, Json.map("current-rev", revision)};
        Map<String, Object> found = item(key, item);
        found.put("current-rev", revision);
        return new Object[] {200, found};
    }

    private static Map<String, Object> item(String key, Item item) {
        return Json.map("key", key, "value", item.value(), "rev", item.rev(), "created",
            item.created(), "lease", item.lease());
    }

    private synchronized Object[] range(Map<String, String> query) {
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        String after = query.getOrDefault("after", "");
        boolean hasMore = false;
        for (Map.Entry<String, Item> entry : items.tailMap(after, after.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(query.get("prefix"))) continue;
            if (found.size() == 500 || bytes >= 1_000_000) {
                hasMore = true;
                break;
            }
            found.add(item(entry.getKey(), entry.getValue()));
            bytes += entry.getValue().value().length();
        }
        return new Object[] {200,
            Json.map("items", found, "more-pages", hasMore, "current-rev", revision)};
    }

    private synchronized Object[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = Run.millis() + Long.parseLong(query.get("wait-ms"));
        String prefix = query.get("prefix");
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.rev() <= after || !event.key().startsWith(prefix)) continue;
                events.add(event.item() == null
                    ? Json.map("key", event.key(), "rev", event.rev(), "deleted", true)
                    : item(event.key(), event.item()));
            }
            long left = end - Run.millis();
            if (!events.isEmpty() || left <= 0) {
                return new Object[] {200, Json.map("events", events, "current-rev", revision)};
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transaction(Map<String, Object> body) {
        List<Object> rows = (List<Object>) body.getOrDefault("precondition", List.of());
        List<Object> now = new ArrayList<>();
        boolean holds = true;
        for (Object row : rows) {
            Map<String, Object> condition = (Map<String, Object>) row;
            String key = (String) condition.get("key");
            Item item = items.get(key);
            long rev = item == null ? 0 : item.rev();
            if (rev != (Long) condition.get("rev")) holds = false;
            now.add(item == null ? Json.map("key", key, "rev", 0) : item(key, item));
        }
        if (!holds) return new Object[] {412, Json.map("items", now)};
        List<Object> writes = (List<Object>) body.getOrDefault("set-keys", List.of());
        for (Object write : writes) {
            Map<String, Object> row = (Map<String, Object>) write;
            long lease = row.get("lease") == null ? 0 : (Long) row.get("lease");
            if (lease != 0 && !leases.containsKey(lease)) return new Object[] {404, Json.map()};
        }
        for (Object write : writes) {
            Map<String, Object> row = (Map<String, Object>) write;
            long lease = row.get("lease") == null ? 0 : (Long) row.get("lease");
            set((String) row.get("key"), (String) row.get("value"), lease);
        }
        for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) delete((String) key);
        return new Object[] {200, Json.map("rev", revision)};
    }

    private synchronized Object[] grant(Map<String, Object> body) {
        Lease lease = new Lease();
        lease.ttlMillis = ((Number) body.get("ttl-ms")).longValue();
        lease.endsAt = Run.millis() + lease.ttlMillis;
        leases.put(++lastLease, lease);
        return new Object[] {200, Json.map("lease", lastLease, "ttl-ms", lease.ttlMillis)};
    }

    private synchronized Object[] keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Object[] {404, Json.map()};
        lease.endsAt = Run.millis() + lease.ttlMillis;
        return new Object[] {200, Json.map("ttl-ms", lease.ttlMillis)};
    }
}
