import java.util.List;
import java.util.concurrent.TimeUnit;

/** Case: machines are restarted in turn, and their settings change just after their start. */
final class HangUpAtStart {
    private static final int HOSTS = 6;
    private static final int HANG_UPS = 3;
    private static final int MACHINES = 2;
    private static final int AFTER_START_MILLIS = 250;

    public static void main(String[] arguments) throws Exception {
        Lab.run(arguments[0], (folder, hosts, trouble) -> {
            Store store = new Store();
            store.put("op/config", Config.of(3,
                    List.of(Config.route("rezerwuj", "non_idempotent", "system-rez", 2_000, 300, 1, "")),
                    List.of(Config.service("system-rez"))));
            new Replica("i-rez-1", "system-rez", "krakow-a", store, (replica, request, out) -> {
                Lab.log(replica.id + " runs " + request.field("Attempt-Id"));
                Replica.answer(out, request, 200, "Replica-Seal: s\r\n", new byte[800]);
            });
            Lab.start(HOSTS, store, folder, hosts);
            int machines = 0;
            for (Lab.Host host : hosts.subList(0, MACHINES)) {
                int ends = 0;
                for (int round = 0; round < HANG_UPS; round++) if (endsByItself(host, trouble)) ends++;
                Lab.say(host.name + ": ended by itself " + ends + " times of " + HANG_UPS + " starts");
                if (ends >= 3) machines++;
            }
            return machines >= 2 ? 1 : 0;
        });
    }

    /** Stops [host] in a planned way, starts it again, and sends SIGHUP; whether it ends then. */
    private static boolean endsByItself(Lab.Host host, boolean trouble) throws Exception {
        host.signal("TERM");
        if (!host.process.waitFor(8, TimeUnit.SECONDS)) throw new java.io.IOException(host.name + " did not stop");
        host.start();
        Lab.sleep(AFTER_START_MILLIS);
        if (trouble) host.signal("HUP");
        boolean ended = host.process.waitFor(2, TimeUnit.SECONDS);
        if (ended) {
            Lab.log(host.name + " ended with exit code " + host.process.exitValue());
            host.start();
        }
        if (!host.awaitReady()) throw new java.io.IOException(host.name + " isn't ready");
        return ended;
    }
}
