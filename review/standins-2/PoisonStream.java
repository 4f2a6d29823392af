import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A streamed request that crashes the model replica while it generates comes again and again. */
final class PoisonStream {
    private static final String POISON = "a question that crashes";
    private static final int EVENTS = 50;
    private static final int CRASH_EVENT = 40;
    private static final Poison COUNTS = new Poison();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static Store store;

    public static void main(String[] arguments) {
        Run.main(PoisonStream::run);
    }

    private static void run() throws Exception {
        store = new Store(Run.ip(1));
        for (int i = 1; i <= 6; i++) start(i);
        store.put("op/config", Setup.configuration(3,
            List.of(Setup.route("r-chat", "/chat/", "streaming", "sapphire-models", 15_000, "slo-ms",
                910, "sticky", true)),
            List.of(Setup.service("sapphire-models", "engine", Setup.engine())), List.of(Setup.KEY)));
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
        for (int i = 0; i < 12; i++) {
            poison(hosts.get(i % hosts.size()), i);
            Thread.sleep(2_000);
        }
        COUNTS.verdict(before, SERVED.get(), FAILED.get());
    }

    /** Starts a replica; each start is a new boot with a new id. */
    private static void start(int place) throws Exception {
        Live live = new Live(place);
        live.replica = new Replica(store, "m-" + place + "-" + NEXT.incrementAndGet(), "sapphire-models",
            "cairo-a", Run.ip(10 + place), 128, live::generate);
    }

    private static final class Live {
        private final int place;
        private final List<Http> open = new CopyOnWriteArrayList<>();
        private Replica replica;
        private boolean hasCrashed;

        Live(int place) {
            this.place = place;
        }

        void generate(Replica replica, Http http, Http.Message request) throws Exception {
            if (!open.contains(http)) open.add(http);
            String attempt = request.get("Attempt-Id");
            boolean isPoison = request.text().equals(POISON) && Run.TROUBLE;
            if (isPoison) COUNTS.began(attempt);
            http.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt
                + "\r\nReplica-Seal: s-" + attempt + "\r\n" + replica.load()
                + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 1; i <= EVENTS; i++) {
                Thread.sleep(40);
                if (isPoison && i == CRASH_EVENT) {
                    crash(replica, attempt);
                    return;
                }
                String event = "id: " + i + "\ndata: token\n\n";
                http.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            http.write("0\r\n\r\n");
        }

        /** The process ends: its connections are reset and its port is closed; it starts again. */
        private synchronized void crash(Replica replica, String attempt) throws Exception {
            if (hasCrashed) return;
            hasCrashed = true;
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

    private static Client.Outcome chat(Client client, String body) throws Exception {
        String part = Long.toHexString(body.hashCode() & 0xffffffffL);
        String headers = "Model: m\r\nToken-Counts: 300,200\r\nPrompt-Prefix: 5c1e07a2:200," + part
            + ":100\r\n";
        return client.send("POST", Setup.HOST, "/chat/1", Setup.KEY, 15_000, headers, body);
    }

    private static void load(Run.Host host) throws Exception {
        while (true) {
            try (Client client = new Client(host)) {
                Client.Outcome outcome = chat(client, "question " + Run.id());
                (outcome.status() == 200 && outcome.complete() ? SERVED : FAILED).incrementAndGet();
                Thread.sleep(200);
            }
        }
    }

    private static void poison(Run.Host host, int number) throws Exception {
        try (Client client = new Client(host)) {
            Client.Outcome outcome = chat(client, POISON);
            Run.record("poison " + number + " " + outcome.id() + " at " + host.name + ": "
                + outcome.status() + (outcome.complete() ? " complete" : " broken off"));
        }
    }
}
