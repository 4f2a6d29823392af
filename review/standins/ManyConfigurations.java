import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: configurations come in quick succession to machines with the links of the grown deployment. */
final class ManyConfigurations {
    private static final int ROUTES = 410;
    private static final int VERSIONS = 25;
    private static final int GAP_MILLIS = 80;
    private static final int LINK_BYTES_PER_MILLI = 1_250;
    private static final int CONFIG_MILLIS = 3_000;
    private static final int DRAIN_MILLIS = 3_000;
    private static final int LENGTH_MILLIS = 40_000;

    private static final ConcurrentHashMap<String, String> runs = new ConcurrentHashMap<>();
    private static final AtomicInteger staleRuns = new AtomicInteger();
    private static final AtomicInteger drainRuns = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static volatile long droppedAt = Long.MAX_VALUE;
    private static volatile long leftAt = Long.MAX_VALUE;

    public static void main(String[] arguments) throws Exception {
        Lab.run(arguments[0], (folder, hosts, trouble) -> {
            Store store = new Store();
            store.put("op/config", configuration(1, true));
            List<Replica> replicas = new ArrayList<>();
            for (int number = 1; number <= 4; number++) {
                replicas.add(new Replica("i-rez-" + number, "system-rez", "krakow-a", store, (replica, request, out) -> {
                    runs.put(request.field("Attempt-Id"), replica.id);
                    Lab.log(replica.id + " runs " + request.field("Attempt-Id"));
                    Lab.sleep(60);
                    Replica.answer(out, request, 200, "Replica-Seal: s\r\n", new byte[800]);
                }));
            }
            store.bytesPerMilli = LINK_BYTES_PER_MILLI;
            Lab.start(2, store, folder, hosts);
            Lab.sleep(3_000);
            return run(store, replicas, hosts, trouble);
        });
    }

    private static int run(Store store, List<Replica> replicas, List<Lab.Host> hosts, boolean trouble) {
        long start = Lab.now();
        Lab.daemon(() -> {
            long begun = start + 2_000;
            for (int version = 2; version <= (trouble ? VERSIONS : 2); version++) {
                Lab.sleep(begun + (version - 2) * (long) GAP_MILLIS - Lab.now());
                // The last version is the one that drops the route `stary`.
                boolean last = version == (trouble ? VERSIONS : 2);
                store.put("op/config", configuration(version, !last));
                Lab.log("operator: version " + version + " acknowledged");
                if (last) droppedAt = Lab.now();
            }
            replicas.get(0).leave(store);
            leftAt = Lab.now();
            Lab.log("i-rez-1: draining acknowledged");
        });
        for (int number = 0; Lab.now() < start + LENGTH_MILLIS; number++) {
            Lab.Host host = hosts.get(number % hosts.size());
            String id = (number % 4 < 2 ? "stary-" : "nowy-") + number;
            Lab.daemon(() -> ask(host, id, number(id) % 4 < 2 ? "stary" : "wolne-boksy"));
            Lab.sleep(start + (number + 1) * 50L - Lab.now());
        }
        Lab.sleep(5_000);
        Lab.say("dropped route: run " + staleRuns + " times for requests sent later than config-ms after the ack");
        Lab.say("draining server: reached " + drainRuns + " times by requests sent later than drain-ms after the ack");
        Lab.say("answers 2xx " + served + ", others " + refused);
        if (served.get() == 0) return 2;
        return staleRuns.get() > 0 ? 1 : 0;
    }

    private static int number(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    /** A configuration with {@link #ROUTES} routes, as after `big_config`. */
    private static String configuration(int version, boolean withOldRoute) {
        List<String> routes = new ArrayList<>();
        String more = ",\"resumable\":false,\"gap-target-ms\":400,\"stages\":["
                + "{\"service\":\"oplaty\",\"after\":[],\"length\":1500000},{\"service\":\"oplaty\",\"after\":[],\"length\":8000},"
                + "{\"service\":\"komunikaty\",\"after\":[1],\"length\":60000},"
                + "{\"service\":\"rejestr-chip\",\"after\":[2],\"length\":6000}]";
        routes.add(anonymous(Config.route("wolne-boksy", "idempotent", "system-rez", 2_000, 300, 2, "")));
        if (withOldRoute) routes.add(anonymous(Config.route("stary", "idempotent", "system-rez", 2_000, 300, 2, "")));
        for (int number = 0; number < ROUTES; number++) {
            routes.add(Config.route("r-mgjqnir" + number, "streaming", "asystent", 6_000, 1_100, 1, more));
        }
        return Config.of(version, routes, List.of(Config.service("system-rez"), Config.service("asystent"),
                Config.stageService("oplaty"), Config.stageService("komunikaty"), Config.stageService("rejestr-chip")));
    }

    private static String anonymous(String route) {
        return route.replace("\"anonymous\":false", "\"anonymous\":true");
    }

    private static void ask(Lab.Host host, String id, String route) {
        long sentAt = Lab.now();
        String end;
        try (Client client = new Client(host.ip, host.front, 5_000)) {
            client.send("GET /" + route + "/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 2000\r\n\r\n", new byte[0]);
            int status = client.receive().status();
            (status < 300 ? served : refused).incrementAndGet();
            end = "status " + status;
        } catch (IOException failure) {
            refused.incrementAndGet();
            end = failure.getMessage();
        }
        Lab.log("client sent " + id + " at " + sentAt + " to " + host.name + ", " + end);
        String replica = runs.get(id);
        if (replica == null) return;
        if (route.equals("stary") && droppedAt < sentAt - CONFIG_MILLIS) staleRuns.incrementAndGet();
        if (replica.equals("i-rez-1") && leftAt < sentAt - DRAIN_MILLIS) drainRuns.incrementAndGet();
    }
}
