import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** The store executes a beat of a replica late, after that replica has reported draining. */
final class LateBeat {
    private static final int DRAIN_MILLIS = 2_000;

    public static void main(String[] arguments) {
        Run.main(LateBeat::run);
    }

    private static void run() throws Exception {
        Store store = new Store(Run.ip(1));
        AtomicLong acknowledged = new AtomicLong(Long.MAX_VALUE);
        AtomicLong late = new AtomicLong();
        Replica.Handler handler = (replica, http, request) -> {
            long now = Run.millis();
            if (replica.id.equals("i-1") && now - DRAIN_MILLIS > acknowledged.get()) {
                late.incrementAndGet();
                Run.record("i-1 runs " + request.get("Attempt-Id") + " " + request.target() + ", "
                    + (now - acknowledged.get()) + " ms after the ack of its draining");
            }
            Thread.sleep(15);
            replica.answer(http, request, 200, "order of " + request.get("Attempt-Id"));
        };
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            replicas.add(new Replica(store, "i-" + i, "orders-desk", "cairo-a", Run.ip(10 + i), 6, handler));
        }
        store.put("op/config", Setup.configuration(3,
            List.of(Setup.route("r-pay", "/pay/", "non_idempotent", "orders-desk", 800)),
            List.of(Setup.service("orders-desk")), List.of(Setup.KEY)));
        Run.Host first = new Run.Host("edge-cairo-a-1", "cairo-a", Run.ip(2), store.address);
        Run.Host second = new Run.Host("edge-cairo-a-2", "cairo-a", Run.ip(3), store.address);
        first.awaitReady();
        second.awaitReady();
        AtomicLong answered = new AtomicLong();
        AtomicLong refused = new AtomicLong();
        for (Run.Host host : List.of(first, second)) {
            for (int i = 0; i < 3; i++) Run.thread("client", () -> load(host, answered, refused));
        }
        Replica leaving = replicas.get(0);
        Thread.sleep(5_000);
        // This beat gets no answer; the store executes it 5.5 s later if there is trouble.
        String beat = leaving.entry();
        long beatAt = Run.millis();
        Run.record("the beat " + beat + " of i-1 gets no answer");
        Thread.sleep(3_900);
        leaving.beats = false;
        leaving.state = "draining";
        leaving.write();
        acknowledged.set(Run.millis());
        Run.record("the store acknowledges that i-1 is draining");
        for (int i = 1; i <= 4; i++) {
            Thread.sleep(1_200 - 50);
            leaving.write();
            Run.record("i-1 writes its beat " + leaving.sequence() + ", draining");
            Thread.sleep(50);
            if (Run.TROUBLE && i == 1) {
                store.put("servers/i-1", beat);
                Run.record("the store executes the beat of " + (Run.millis() - beatAt) + " ms ago");
            }
        }
        Run.record("answered " + answered + ", others " + refused + ", late at i-1 " + late);
        if (answered.get() < 100) Run.end(2, "too few requests were served: " + answered);
        if (late.get() > 0) Run.end(1, "DRAIN broken: " + late + " requests reached i-1 late");
        Run.end(0, "DRAIN held");
    }

    private static void load(Run.Host host, AtomicLong answered, AtomicLong refused) throws Exception {
        try (Client client = new Client(host)) {
            while (true) {
                Client.Outcome outcome = client.send("POST", Setup.HOST, "/pay/1", Setup.KEY, 1_500, "", "paid");
                (outcome.status() == 200 && outcome.complete() ? answered : refused).incrementAndGet();
                Thread.sleep(60);
            }
        }
    }
}
