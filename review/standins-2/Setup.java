import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's configuration of a small deployment. */
final class Setup {
    static final String HOST = "shop.example";
    static final String KEY = "k3y0fbozi300";

    private Setup() {}

    static Map<String, Object> route(String name, String prefix, String kind, String service,
        int timeoutMillis, Object... more) {
        Map<String, Object> route = Json.map("name", name, "host", HOST, "prefix", prefix, "kind",
            kind, "timeout-ms", timeoutMillis, "slo-ms", 500, "priority", 1, "service", service,
            "max-attempts", kind.equals("non_idempotent") ? 1 : 2, "stages", List.of(), "anonymous",
            false, "sticky", false, "resumable", false);
        route.putAll(Json.map(more));
        return route;
    }

    static Map<String, Object> service(String name, Object... more) {
        Map<String, Object> service = Json.map("name", name, "health-path", "/healthz",
            "max-connections", 500, "protocol", "h1", "tls", false);
        service.putAll(Json.map(more));
        return service;
    }

    static Map<String, Object> stage(String service, List<Integer> after) {
        return Json.map("service", service, "after", after, "length", 8000);
    }

    static Map<String, Object> engine() {
        return Json.map("slots", 128, "kv-capacity", 444000);
    }

    static Map<String, Object> pieces() {
        return Json.map("slots", 1, "queue", 2, "batch", 9, "call-ms", 200.0, "item-ms", 10.0,
            "room-mb", 19.8, "handle-s", 4.0, "link-mbps", 10000);
    }

    static String configuration(int version, List<Map<String, Object>> routes,
        List<Map<String, Object>> services, List<String> keys) {
        List<Object> tenants = new ArrayList<>();
        tenants.add(Json.map("name", "bozi300", "api-keys", keys, "priority", 1));
        return Json.write(Json.map("version", version, "routes", routes, "services", services,
            "limits", Json.map("max-header-bytes", 16384, "max-body-bytes", 4194304,
                "header-timeout-ms", 3000, "idle-timeout-ms", 15000), "tenants", tenants));
    }
}
