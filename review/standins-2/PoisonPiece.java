import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A request whose pieces crash the stage replicas that work on them comes again and again. */
final class PoisonPiece {
    private static final String POISON = "p01503";
    private static final Poison COUNTS = new Poison();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static Store store;

    public static void main(String[] arguments) {
        Run.main(PoisonPiece::run);
    }

    private static void run() throws Exception {
        store = new Store(Run.ip(1));
        for (int i = 1; i <= 3; i++) {
            new Replica(store, "m-" + i, "sapphire-models", "cairo-a", Run.ip(10 + i), 128,
                PoisonPiece::stream);
        }
        for (int i = 1; i <= 4; i++) start(i);
        store.put("op/config", Setup.configuration(3,
            List.of(Setup.route("r-assess", "/assess/", "streaming", "sapphire-models", 6_000, "slo-ms",
                1900, "sticky", true, "stages", List.of(Setup.stage("leather-stock", List.of())))),
            List.of(Setup.service("sapphire-models", "engine", Setup.engine()),
                Setup.service("leather-stock", "pieces", Setup.pieces())),
            List.of(Setup.KEY)));
        List<Run.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            hosts.add(new Run.Host("edge-cairo-a-" + i, "cairo-a", Run.ip(1 + i), store.address));
        }
        for (Run.Host host : hosts) host.awaitReady();
        for (Run.Host host : hosts) {
            for (int i = 0; i < 3; i++) Run.thread("client", () -> load(host));
        }
        Thread.sleep(5_000);
        int before = SERVED.get();
        for (int i = 0; i < 14; i++) {
            poison(hosts.get(i % hosts.size()), i);
            Thread.sleep(2_500);
        }
        COUNTS.verdict(before, SERVED.get(), FAILED.get());
    }

    /** Starts a replica of the stage; each start is a new boot with a new id. */
    private static void start(int place) throws Exception {
        Live live = new Live(place);
        live.replica = new Replica(store, "l-" + place + "-" + NEXT.incrementAndGet(), "leather-stock",
            "cairo-a", Run.ip(30 + place), 1, live::call);
    }

    private static final class Live {
        private final int place;
        private final List<Http> open = new CopyOnWriteArrayList<>();
        private Replica replica;
        private boolean hasCrashed;

        Live(int place) {
            this.place = place;
        }

        @SuppressWarnings("unchecked")
        void call(Replica replica, Http http, Http.Message request) throws Exception {
            if (!open.contains(http)) open.add(http);
            if (!request.target().equals("/stage-run")) {
                http.answer(200, replica.load(), "");
                return;
            }
            List<Object> items = (List<Object>) Json.object(request.text()).get("items");
            List<Object> made = new ArrayList<>();
            for (Object each : items) {
                Map<String, Object> item = (Map<String, Object>) each;
                if (POISON.equals(item.get("key")) && Run.TROUBLE) {
                    crash(replica, (String) item.get("id"));
                    return;
                }
                made.add(Json.map("handle", replica.address + "/" + Run.id()));
            }
            Thread.sleep(200 + 10L * items.size());
            http.answer(200, "Content-Type: application/json\r\n" + replica.load(),
                Json.write(Json.map("items", made)));
        }

        /** The process ends: its connections are reset and its port is closed; it starts again. */
        private synchronized void crash(Replica replica, String attempt) throws Exception {
            if (hasCrashed) return;
            hasCrashed = true;
            COUNTS.began(attempt);
            COUNTS.crashed(replica.id, attempt);
            replica.stop();
            for (Http connection : open) connection.reset();
            Run.thread("restart", () -> {
                Thread.sleep(2_000);
                store.delete("servers/" + replica.id);
                start(place);
            });
        }
    }

    private static void stream(Replica replica, Http http, Http.Message request) throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.append("Attempt-Id: ").append(request.get("Attempt-Id")).append("\r\nReplica-Seal: s\r\n");
        head.append(replica.load()).append("Transfer-Encoding: chunked\r\n\r\n");
        http.write(head.toString());
        for (int i = 1; i <= 6; i++) {
            Thread.sleep(20);
            String event = "id: " + i + "\ndata: token\n\n";
            http.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        http.write("0\r\n\r\n");
    }

    private static Client.Outcome assess(Client client, String key, String body) throws Exception {
        String headers = "Model: m\r\nToken-Counts: 300,40\r\nPrompt-Prefix: 5c1e07a2:200,"
            + Long.toHexString(body.hashCode() & 0xffffffffL) + ":100\r\nPieces: 1\r\nPiece-Key: " + key + "\r\n";
        return client.send("POST", Setup.HOST, "/assess/photo", Setup.KEY, 6_000, headers, body);
    }

    private static void load(Run.Host host) throws Exception {
        try (Client client = new Client(host)) {
            while (true) {
                String key = Run.id().substring(0, 12);
                Client.Outcome outcome = assess(client, key, "photo " + key);
                (outcome.status() == 200 && outcome.complete() ? SERVED : FAILED).incrementAndGet();
                Thread.sleep(300);
            }
        }
    }

    private static void poison(Run.Host host, int number) throws Exception {
        try (Client client = new Client(host)) {
            Client.Outcome outcome = assess(client, POISON, "photo that crashes");
            Run.record("poison " + number + " " + outcome.id() + " at " + host.name + ": "
                + outcome.status() + " " + (outcome.answer() == null ? "" : "Retry-After "
                + outcome.answer().get("Retry-After")));
        }
    }
}
