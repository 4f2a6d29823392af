import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: many users come at once, and their request bodies are as large as the configuration permits. */
final class LargeBodies {
    private static final int BODY_BYTES = 4_194_304;
    private static final int USUAL_UPLOADS_PER_S = 8;
    private static final double BURST = 2.6;
    private static final int BURST_AT_MILLIS = 6_000;
    private static final int BURST_MILLIS = 6_500;
    private static final int LENGTH_MILLIS = 18_000;
    private static final int UPLOAD_WORK_MILLIS = 3_000;
    private static final int BOOKING_WORK_MILLIS = 86;
    private static final int BOOKING_TIMEOUT_MILLIS = 2_000;
    private static final int BOOKING_DEADLINE_MILLIS = 4_000;
    private static final int BOOKINGS_PER_S = 20;

    private static final AtomicInteger uploadsAnswered = new AtomicInteger();
    private static final AtomicInteger uploadsClosed = new AtomicInteger();
    private static final AtomicInteger bookings = new AtomicInteger();
    private static final AtomicInteger bookingsAnswered = new AtomicInteger();
    private static final AtomicInteger overTimeout = new AtomicInteger();
    private static final AtomicInteger farOverTimeout = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.run(arguments[0], (folder, hosts, trouble) -> {
            Store store = new Store();
            store.put("op/config", Config.of(3, List.of(
                    Config.route("karta-pobytu", "non_idempotent", "system-rez", 6_000, 4_000, 1, ""),
                    Config.route("rezerwuj", "non_idempotent", "system-rez", BOOKING_TIMEOUT_MILLIS, 300, 1, "")),
                    List.of(Config.service("system-rez"))));
            for (int number = 1; number <= 4; number++) {
                new Replica("i-rez-" + number, "system-rez", "krakow-a", store, (replica, request, out) -> {
                    Lab.log(replica.id + " runs " + request.field("Attempt-Id"));
                    Lab.sleep(request.target().startsWith("/karta") ? UPLOAD_WORK_MILLIS : BOOKING_WORK_MILLIS);
                    Replica.answer(out, request, 200, "Replica-Seal: s\r\n", new byte[800]);
                });
            }
            Lab.start(1, store, folder, hosts);
            return run(hosts.get(0), trouble);
        });
    }

    private static int run(Lab.Host host, boolean trouble) throws IOException {
        byte[] body = new byte[BODY_BYTES];
        new Random(1).nextBytes(body);
        long start = Lab.now();
        Lab.daemon(() -> {
            long due = start;
            for (int number = 0; due < start + LENGTH_MILLIS; number++) {
                Lab.sleep(due - Lab.now());
                String id = "upload-" + number;
                Lab.daemon(() -> upload(host, id, body));
                long since = due - start;
                boolean burst = trouble && since >= BURST_AT_MILLIS && since < BURST_AT_MILLIS + BURST_MILLIS;
                due += (long) (1_000 / (burst ? USUAL_UPLOADS_PER_S * BURST : USUAL_UPLOADS_PER_S));
            }
        });
        for (int number = 0; Lab.now() < start + LENGTH_MILLIS; number++) {
            String id = "booking-" + number;
            Lab.daemon(() -> book(host, id));
            Lab.sleep(start + (number + 1) * 1_000L / BOOKINGS_PER_S - Lab.now());
        }
        Lab.sleep(11_000);
        int memoryErrors = 0;
        for (String line : host.lines()) if (line.contains("OutOfMemoryError")) memoryErrors++;
        Lab.say("uploads answered " + uploadsAnswered + ", closed without an answer " + uploadsClosed
                + "; OutOfMemoryError in the host's log: " + memoryErrors);
        Lab.say("bookings sent " + bookings + ", answered at all " + bookingsAnswered
                + "; unanswered at the route's timeout " + overTimeout + ", of these 0.5 s later " + farOverTimeout);
        if (bookingsAnswered.get() == 0) return 2;
        return farOverTimeout.get() >= 8 && 4 * farOverTimeout.get() > overTimeout.get() ? 1 : 0;
    }

    private static String head(String route, String id, int deadline, int length) {
        return "POST /" + route + "/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + deadline + "\r\nCredential: " + Config.KEY + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static void upload(Lab.Host host, String id, byte[] body) {
        long sentAt = Lab.now();
        try (Client client = new Client(host.ip, host.front, 6_000)) {
            client.send(head("karta-pobytu", id, 6_000, body.length), body);
            Lab.log("client sent " + id);
            int status = client.receive().status();
            uploadsAnswered.incrementAndGet();
            Lab.log("client got " + id + " status " + status + " after " + (Lab.now() - sentAt) + " ms");
        } catch (IOException failure) {
            uploadsClosed.incrementAndGet();
            Lab.log("client lost " + id + ": " + failure.getMessage() + " after " + (Lab.now() - sentAt) + " ms");
        }
    }

    private static void book(Lab.Host host, String id) {
        bookings.incrementAndGet();
        long sentAt = -1;
        String end;
        try (Client client = new Client(host.ip, host.front, 8_000)) {
            byte[] body = new byte[600];
            client.send(head("rezerwuj", id, BOOKING_DEADLINE_MILLIS, body.length), body);
            sentAt = Lab.now();
            end = "status " + client.receive().status();
            bookingsAnswered.incrementAndGet();
        } catch (IOException failure) {
            end = failure.getMessage();
        }
        long took = Lab.now() - sentAt;
        if (sentAt < 0) {
            Lab.log("client did not reach the host for " + id + ": " + end);
            return;
        }
        Lab.log("client sent " + id + ", " + end + " after " + took + " ms");
        if (took > BOOKING_TIMEOUT_MILLIS) overTimeout.incrementAndGet();
        if (took > BOOKING_TIMEOUT_MILLIS + 500) farOverTimeout.incrementAndGet();
    }
}
