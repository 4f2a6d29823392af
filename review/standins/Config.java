import java.util.List;

/** The operator's configuration of a small deployment. */
final class Config {
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String URGENT_KEY = "jnbanfqasnmgkcuyj8pj";

    private Config() {}

    static String route(
            String name, String kind, String service, int timeoutMillis, int objectiveMillis, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout-ms\":" + timeoutMillis + ",\"slo-ms\":" + objectiveMillis
                + ",\"priority\":2,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
                + ",\"anonymous\":false,\"sticky\":false" + more + "}";
    }

    /** A configuration with two tenants; the one that holds URGENT_KEY goes first. */
    static String of(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"max-header-bytes\":16384,"
                + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"api-keys\":[\"" + KEY + "\"],\"priority\":2},"
                + "{\"name\":\"wada101\",\"api-keys\":[\"" + URGENT_KEY + "\"],\"priority\":0}]}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/healthz\",\"max-connections\":480}";
    }

    /** A service of stages with the figures of `oplaty` in the site file. */
    static String stageService(String name) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/healthz\",\"max-connections\":480,"
                + "\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":8,\"call-ms\":200.0,\"item-ms\":21.0,"
                + "\"room-mb\":18.0,\"handle-s\":4.0,\"link-mbps\":10000}}";
    }
}
