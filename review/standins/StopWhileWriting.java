import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a host gets SIGTERM while its consumers are still reading long answers. */
final class StopWhileWriting {
    private static final int READERS = 3;
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int BYTES_PER_MILLI = 2_000;
    private static final int WORK_MILLIS = 2_800;
    private static final int DEADLINE_MILLIS = 15_000;

    private static volatile long stoppedAt = -1;
    private static final AtomicInteger complete = new AtomicInteger();
    private static final AtomicInteger broken = new AtomicInteger();
    private static final CountDownLatch ended = new CountDownLatch(READERS);

    public static void main(String[] arguments) throws Exception {
        Lab.run(arguments[0], (folder, hosts, trouble) -> {
            Store store = new Store();
            store.put("op/config", Config.of(3,
                    List.of(Config.route("raport", "idempotent", "system-rez", 15_000, 6_000, 2, "")),
                    List.of(Config.service("system-rez"))));
            for (int number = 1; number <= 2; number++) {
                new Replica("i-rez-" + number, "system-rez", "krakow-a", store, (replica, request, out) -> {
                    Lab.log(replica.id + " runs " + request.field("Attempt-Id"));
                    Lab.sleep(WORK_MILLIS);
                    Replica.answer(out, request, 200, "Replica-Seal: s\r\n", new byte[ANSWER_BYTES]);
                    Lab.log(replica.id + " has written its answer to " + request.field("Attempt-Id"));
                });
            }
            Lab.start(2, store, folder, hosts);
            return run(hosts.get(0), trouble);
        });
    }

    private static int run(Lab.Host host, boolean trouble) throws Exception {
        for (int number = 0; number < READERS; number++) {
            String id = "report-" + number;
            Lab.daemon(() -> read(host, id));
        }
        Lab.sleep(300);
        if (trouble) {
            stoppedAt = Lab.now();
            host.signal("TERM");
        }
        if (!ended.await(40, TimeUnit.SECONDS)) return 2;
        if (trouble && host.process.waitFor(15, TimeUnit.SECONDS)) {
            Lab.say("the host ended " + (Lab.now() - stoppedAt) + " ms after SIGTERM or earlier; grace-s is 8");
        }
        Lab.say("complete answers " + complete + ", answers cut off " + broken + " of " + READERS);
        return broken.get() > 0 ? 1 : complete.get() == READERS ? 0 : 2;
    }

    /** Sends one request and reads its answer at a steady rate, as over a slow link. */
    private static void read(Lab.Host host, String id) {
        long sentAt = -1;
        int got = 0;
        try (Client client = new Client(host.ip, host.front, 20_000, 16_384)) {
            client.send("GET /raport/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                    + DEADLINE_MILLIS + "\r\nCredential: " + Config.KEY + "\r\n\r\n", new byte[0]);
            sentAt = Lab.now();
            Lab.log("client sent " + id);
            Http.Message head = Http.head(client.in);
            if (head == null) throw new IOException("closed without an answer");
            if (head.status() != 200) {
                Lab.say(id + ": status " + head.status());
                return;
            }
            int length = Integer.parseInt(head.field("Content-Length"));
            long begun = Lab.now();
            byte[] buffer = new byte[16_384];
            while (got < length) {
                int count = client.in.read(buffer, 0, Math.min(buffer.length, length - got));
                if (count < 0) throw new IOException("the answer ended early");
                got += count;
                Lab.sleep(begun + got / BYTES_PER_MILLI - Lab.now());
            }
            complete.incrementAndGet();
            Lab.log("client got all " + got + " bytes of " + id + " after " + (Lab.now() - sentAt) + " ms");
        } catch (IOException failure) {
            long took = Lab.now() - sentAt;
            Lab.say(id + ": " + failure.getMessage() + " after " + got + " of " + ANSWER_BYTES + " bytes, " + took
                    + " ms after the request" + (stoppedAt < 0 ? "" : ", " + (Lab.now() - stoppedAt)
                    + " ms after SIGTERM"));
            if (sentAt >= 0 && took < DEADLINE_MILLIS) broken.incrementAndGet();
        } finally {
            ended.countDown();
        }
    }
}
