import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request after which each replica that runs it goes dark comes again and again. */
final class PoisonDark {
    private static final String POISON = "/status/poison";
    private static final int BEAT_MILLIS = 1_200;
    private static final Poison COUNTS = new Poison();
    private static final AtomicInteger NEXT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static Store store;

    public static void main(String[] arguments) {
        Run.main(PoisonDark::run);
    }

    private static void run() throws Exception {
        store = new Store(Run.ip(1));
        for (int i = 1; i <= 6; i++) start(i);
        store.put("op/config", Setup.configuration(3,
            List.of(Setup.route("r-status", "/status/", "idempotent", "orders-desk", 800)),
            List.of(Setup.service("orders-desk")), List.of(Setup.KEY)));
        List<Run.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            hosts.add(new Run.Host("edge-cairo-a-" + i, "cairo-a", Run.ip(1 + i), store.address));
        }
        for (Run.Host host : hosts) host.awaitReady();
        for (Run.Host host : hosts) {
            for (int i = 0; i < 3; i++) Run.thread("client", () -> load(host));
        }
        Thread.sleep(4_000);
        int before = SERVED.get();
        for (int i = 0; i < 16; i++) {
            poison(hosts.get(i % hosts.size()), i);
            Thread.sleep(2_000);
        }
        COUNTS.verdict(before, SERVED.get(), FAILED.get());
    }

    /** Starts a replica; each start is a new boot with a new id. */
    private static void start(int place) throws Exception {
        new Replica(store, "o-" + place + "-" + NEXT.incrementAndGet(), "orders-desk", "cairo-a",
            Run.ip(10 + place), 6, (replica, http, request) -> {
                if (request.target().equals(POISON) && Run.TROUBLE) {
                    String attempt = request.get("Attempt-Id");
                    COUNTS.began(attempt);
                    COUNTS.crashed(replica.id, attempt);
                    replica.goDark();
                    Run.thread("restart", () -> restart(replica, place));
                    while (true) Thread.sleep(60_000);
                }
                Thread.sleep(15);
                replica.answer(http, request, 200, "status of " + request.target());
            });
    }

    /** The entry goes after three silent intervals of beats; the replica is back some time later. */
    private static void restart(Replica dark, int place) throws Exception {
        Thread.sleep(3 * BEAT_MILLIS);
        store.delete("servers/" + dark.id);
        Thread.sleep(1_000);
        start(place);
    }

    private static void load(Run.Host host) throws Exception {
        try (Client client = new Client(host)) {
            while (true) {
                Client.Outcome outcome = client.send("GET", Setup.HOST, "/status/" + Run.id(), Setup.KEY,
                    1_500, "", "");
                (outcome.status() == 200 && outcome.complete() ? SERVED : FAILED).incrementAndGet();
                Thread.sleep(100);
            }
        }
    }

    private static void poison(Run.Host host, int number) throws Exception {
        try (Client client = new Client(host)) {
            Client.Outcome outcome = client.send("GET", Setup.HOST, POISON, Setup.KEY, 1_500, "", "");
            Run.record("poison " + number + " " + outcome.id() + " at " + host.name + ": "
                + outcome.status());
        }
    }
}
