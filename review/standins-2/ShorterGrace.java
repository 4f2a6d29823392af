import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The settings file shortens the grace of a stop, and a planned stop follows. */
final class ShorterGrace {
    private static final double OLD_GRACE_SECONDS = 8.0;
    private static final double NEW_GRACE_SECONDS = 4.0;
    private static final int LOSS_SLACK_MILLIS = 200;
    private static final int EXCUSED_UNTIL_MILLIS = 3_000;
    private static final int WORK_MILLIS = 600;
    private static final Map<String, Long> RUNS = new ConcurrentHashMap<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger EXCUSED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static volatile long stopAt = Long.MAX_VALUE;

    public static void main(String[] arguments) {
        Run.main(ShorterGrace::run);
    }

    private static void run() throws Exception {
        Store store = new Store(Run.ip(1));
        for (int i = 1; i <= 3; i++) {
            new Replica(store, "o-" + i, "orders-desk", "cairo-a", Run.ip(10 + i), 24, (replica, http, request) -> {
                RUNS.put(request.get("Attempt-Id"), Run.millis());
                Thread.sleep(WORK_MILLIS);
                replica.answer(http, request, 200, "paid " + request.get("Attempt-Id"));
            });
        }
        store.put("op/config", Setup.configuration(3,
            List.of(Setup.route("r-pay", "/pay/", "non_idempotent", "orders-desk", 800)),
            List.of(Setup.service("orders-desk")), List.of(Setup.KEY)));
        Run.Host host = new Run.Host("edge-cairo-a-1", "cairo-a", Run.ip(2), store.address);
        host.awaitReady();
        if (Run.TROUBLE) {
            host.settings(NEW_GRACE_SECONDS);
            host.signal("HUP");
        }
        double graceSeconds = Run.TROUBLE ? NEW_GRACE_SECONDS : OLD_GRACE_SECONDS;
        Thread.sleep(6_500);
        // Each consumer uses its connection once, leaves it idle and uses it again during the stop.
        for (int i = 0; i < 20; i++) {
            int number = i;
            Run.thread("client", () -> pay(host, 2_000 + 100 * number));
        }
        Thread.sleep(2_500);
        stopAt = Run.millis();
        host.signal("TERM");
        boolean hasEnded = host.process.waitFor((long) (graceSeconds * 1_000), TimeUnit.MILLISECONDS);
        if (!hasEnded) host.signal("KILL");
        Run.record("the process ended " + (Run.millis() - stopAt) + " ms after SIGTERM, grace " + graceSeconds
            + " s" + (hasEnded ? "" : ", by SIGKILL"));
        Thread.sleep(1_000);
        Run.record("served " + SERVED + ", refused " + REFUSED + ", excused " + EXCUSED + ", lost " + LOST);
        if (SERVED.get() < 20) Run.end(2, "too few requests were served: " + SERVED);
        if (LOST.get() > 0) Run.end(1, "LOST broken: " + LOST + " requests without an answer");
        Run.end(0, "LOST held");
    }

    /** One request at once, and one {@code laterMillis} after the stop has begun. */
    private static void pay(Run.Host host, long laterMillis) throws Exception {
        try (Client client = new Client(host)) {
            one(client);
            while (stopAt == Long.MAX_VALUE || Run.millis() < stopAt + laterMillis) Thread.sleep(5);
            if (client.isOpen()) one(client);
        }
    }

    private static void one(Client client) throws Exception {
        String id = Run.id();
        long sentAt = Run.millis();
        Client.Outcome outcome = client.send(id, "POST", Setup.HOST, "/pay/1", Setup.KEY, 1_500, "", "paid");
        long tookMillis = Run.millis() - sentAt;
        boolean hasRun = RUNS.containsKey(id);
        if (outcome.complete()) {
            (outcome.status() == 200 ? SERVED : REFUSED).incrementAndGet();
        } else if (hasRun && sentAt - stopAt <= EXCUSED_UNTIL_MILLIS) {
            EXCUSED.incrementAndGet();
        } else if (hasRun || tookMillis > LOSS_SLACK_MILLIS) {
            LOST.incrementAndGet();
            Run.record("LOST " + id + ", sent " + (sentAt - stopAt) + " ms after SIGTERM, "
                + (hasRun ? "run by a replica" : "not run") + ", ended without an answer after "
                + tookMillis + " ms");
        }
    }
}
