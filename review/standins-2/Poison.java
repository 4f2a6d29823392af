import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Counts the crashes that one request causes, and its retries that count under BUDGET. */
final class Poison {
    private static final int CONTACT_MILLIS = 3_000;
    private static final int PERMITTED_RETRIES = 3;
    private final Set<String> lateAttempts = ConcurrentHashMap.newKeySet();
    private int crashes;
    private long thirdCrashAt = Long.MAX_VALUE;

    /** A replica begins to work for {@code attempt}, and crashes at once or later. */
    synchronized void began(String attempt) {
        if (Run.millis() - CONTACT_MILLIS > thirdCrashAt) lateAttempts.add(attempt);
    }

    synchronized void crashed(String replica, String attempt) {
        crashes++;
        if (crashes == 3) thirdCrashAt = Run.millis();
        Run.record("crash " + crashes + ": " + replica + ", which worked for " + attempt);
    }

    /** Ends the case; {@code servedBefore} requests were served before the first crash. */
    synchronized void verdict(int servedBefore, int served, int notServed) {
        Run.record("other requests: " + served + " served, " + notServed + " not served; crashes: "
            + crashes + "; retries that replicas began later than " + CONTACT_MILLIS
            + " ms after the third crash: " + lateAttempts.size());
        if (servedBefore < 5) Run.end(2, "too few requests were served: " + servedBefore);
        boolean isBroken = lateAttempts.size() > PERMITTED_RETRIES;
        Run.end(isBroken ? 1 : 0, "BUDGET " + (isBroken ? "broken: " : "held: ")
            + lateAttempts.size() + " retries, " + crashes + " crashes");
    }
}
