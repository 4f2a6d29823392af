import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;

/** A change of the configuration adds two tenants whose names are Arabic words. */
final class TenantNames {
    private static final String FIRST_TENANT = "bozi300";

    /** Damietta and Aswan, five letters each. */
    private static final Map<String, String> ADDED_TENANTS = Map.of("k3y0fdamietta",
        "\u062f\u0645\u064a\u0627\u0637", "k3y0faswan", "\u0623\u0633\u0648\u0627\u0646");
    private static final int CONFIG_MILLIS = 2_000;
    private static final Map<String, String> HOLDERS = new ConcurrentHashMap<>();
    private static final Set<String> SEEN = new ConcurrentSkipListSet<>();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger WRONG = new AtomicInteger();

    public static void main(String[] arguments) {
        Run.main(TenantNames::run);
    }

    private static void run() throws Exception {
        Store store = new Store(Run.ip(1));
        for (int i = 1; i <= 3; i++) {
            new Replica(store, "o-" + i, "orders-desk", "cairo-a", Run.ip(10 + i), 6, TenantNames::pay);
        }
        store.put("op/config", configuration(3, Map.of()));
        Run.Host first = new Run.Host("edge-cairo-a-1", "cairo-a", Run.ip(2), store.address);
        Run.Host second = new Run.Host("edge-cairo-a-2", "cairo-a", Run.ip(3), store.address);
        first.awaitReady();
        second.awaitReady();
        for (Run.Host host : List.of(first, second)) {
            Run.thread("client", () -> load(host, Setup.KEY, FIRST_TENANT));
        }
        Thread.sleep(5_000);
        if (Run.TROUBLE) {
            store.put("op/config", configuration(4, ADDED_TENANTS));
            Run.record("the store acknowledges version 4 with the tenants " + ADDED_TENANTS.values());
            Thread.sleep(CONFIG_MILLIS);
            for (Run.Host host : List.of(first, second)) {
                ADDED_TENANTS.forEach((key, tenant) -> Run.thread("client", () -> load(host, key, tenant)));
            }
        }
        Thread.sleep(6_000);
        Run.record("served " + SERVED + ", run with another tenant " + WRONG);
        for (String seen : new TreeSet<>(SEEN)) Run.record(seen);
        if (SERVED.get() < 50) Run.end(2, "too few requests were served: " + SERVED);
        if (WRONG.get() > 0) Run.end(1, "UNASKED broken: " + WRONG + " requests run with another tenant");
        Run.end(0, "UNASKED held");
    }

    private static String configuration(int version, Map<String, String> added) {
        Map<String, Object> configuration = Json.object(Setup.configuration(version,
            List.of(Setup.route("r-pay", "/pay/", "non_idempotent", "orders-desk", 800)),
            List.of(Setup.service("orders-desk")), List.of(Setup.KEY)));
        @SuppressWarnings("unchecked")
        List<Object> tenants = (List<Object>) configuration.get("tenants");
        added.forEach((key, tenant) ->
            tenants.add(Json.map("name", tenant, "api-keys", List.of(key), "priority", 1)));
        return Json.write(configuration);
    }

    private static void pay(Replica replica, Http http, Http.Message request) throws Exception {
        String id = request.get("Attempt-Id");
        String stated = request.get("Tenant");
        // Heads are read byte for byte; the platform's text is UTF-8.
        String tenant = stated == null ? null
            : new String(stated.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
        String holder = HOLDERS.get(id);
        SEEN.add("key of " + holder + ": Tenant is '" + tenant + "'");
        if (!holder.equals(tenant)) {
            WRONG.incrementAndGet();
            Run.record(id + " is run with Tenant '" + tenant + "', its key is held by '" + holder + "'");
        }
        Thread.sleep(15);
        replica.answer(http, request, 200, "paid " + id);
    }

    private static void load(Run.Host host, String key, String tenant) throws Exception {
        try (Client client = new Client(host)) {
            while (true) {
                String id = Run.id();
                HOLDERS.put(id, tenant);
                Client.Outcome outcome = client.send(id, "POST", Setup.HOST, "/pay/1", key, 1_500, "", "paid");
                if (outcome.status() == 200 && outcome.complete()) SERVED.incrementAndGet();
                Thread.sleep(60);
            }
        }
    }
}
