import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a host gets SIGTERM while requests that it has read wait for a stage that more urgent
 * requests, taken by another host, keep busy.
 */
final class StopWhileWaiting {
    private static final int CHATS = 4;
    private static final int DEADLINE_MILLIS = 20_000;
    private static final int LOSS_SLACK_MILLIS = 200;

    private static volatile long stoppedAt = -1;
    private static final AtomicInteger broken = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final CountDownLatch chats = new CountDownLatch(CHATS);
    private static StageReplica stage;

    public static void main(String[] arguments) throws Exception {
        Lab.run(arguments[0], (folder, hosts, trouble) -> {
            Store store = new Store();
            String stages = ",\"resumable\":false,\"stages\":[{\"service\":\"oplaty\",\"after\":[],\"length\":8000}]";
            store.put("op/config", Config.of(3, List.of(
                    Config.route("czat", "streaming", "asystent", 20_000, 1_800, 1, stages),
                    Config.route("szczepienia", "streaming", "asystent", 6_000, 1_900, 1, stages)),
                    List.of(Config.service("asystent"), Config.stageService("oplaty"))));
            stage = new StageReplica("i-oplaty-1", "oplaty", "krakow-a", store);
            new Replica("i-asystent-1", "asystent", "krakow-a", store, StopWhileWaiting::stream);
            new Replica("i-asystent-2", "asystent", "krakow-a", store, StopWhileWaiting::stream);
            Lab.start(2, store, folder, hosts);
            Lab.sleep(1_000);
            // The stage calls of `oplaty` are assigned to the first host, by the hash of its name.
            return run(hosts.get(1), hosts.get(0), trouble);
        });
    }

    private static int run(Lab.Host stopped, Lab.Host other, boolean trouble) throws Exception {
        long start = Lab.now();
        Lab.daemon(() -> {
            // 4 urgent requests a second with 8 pieces each; the stage can do 2.7 of them.
            for (int number = 0; Lab.now() < start + 13_000; number++) {
                String id = "urgent-" + number;
                Lab.daemon(() -> urgent(other, id));
                Lab.sleep(start + 250L * (number + 1) - Lab.now());
            }
        });
        List<Client> connections = new ArrayList<>();
        for (int number = 0; number < CHATS; number++) connections.add(new Client(stopped.ip, stopped.front, 25_000));
        Lab.sleep(start + 100 - Lab.now());
        if (trouble) {
            stoppedAt = Lab.now();
            stopped.signal("TERM");
        }
        // Half a second later the platform still sends consumers here: no probe was missed twice.
        Lab.sleep(start + 600 - Lab.now());
        for (int number = 0; number < CHATS; number++) {
            String id = "chat-" + number;
            Client connection = connections.get(number);
            Lab.daemon(() -> chat(connection, id));
        }
        if (!chats.await(30, TimeUnit.SECONDS)) Lab.say("some chats have not ended");
        if (trouble && !stopped.process.waitFor(15, TimeUnit.SECONDS)) Lab.say("the host has not ended");
        Lab.say("chats answered " + answered + ", ended without a complete answer " + broken + " of " + CHATS);
        if (answered.get() + broken.get() < CHATS) return 2;
        return broken.get() > 0 ? 1 : 0;
    }

    private static String head(String route, String key, String id, int deadline, int pieces, int length) {
        return "POST /" + route + "/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id + "\r\nModel: m\r\n"
                + "Token-Counts: 543,70\r\nPrompt-Prefix: 5c1e07a2:172,91bd3f06:371\r\nPieces: " + pieces
                + "\r\nPiece-Key: 7c1e07a291bd\r\nDeadline-Ms: " + deadline + "\r\nCredential: " + key
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static void chat(Client connection, String id) {
        long sentAt = -1;
        try (connection) {
            byte[] body = new byte[1_400];
            connection.send(head("czat", Config.KEY, id, DEADLINE_MILLIS, 1, body.length), body);
            sentAt = Lab.now();
            Lab.log("client sent " + id);
            Http.Message answer = connection.receive();
            answered.incrementAndGet();
            Lab.log("client got " + id + " status " + answer.status() + " after " + (Lab.now() - sentAt) + " ms");
        } catch (IOException failure) {
            long took = Lab.now() - sentAt;
            String at = stoppedAt < 0 ? "" : ", " + (Lab.now() - stoppedAt) + " ms after SIGTERM";
            Lab.say(id + ": no complete answer, " + failure.getMessage() + ", " + took + " ms after its last byte" + at
                    + (stage.begun.contains(id) ? ", a server had begun a piece" : ", no server had begun a piece"));
            if (sentAt >= 0 && took > LOSS_SLACK_MILLIS && took < DEADLINE_MILLIS && !stage.begun.contains(id)) {
                broken.incrementAndGet();
            }
        } finally {
            chats.countDown();
        }
    }

    private static void urgent(Lab.Host host, String id) {
        try (Client connection = new Client(host.ip, host.front, 10_000)) {
            byte[] body = new byte[600];
            connection.send(head("szczepienia", Config.URGENT_KEY, id, 6_000, 8, body.length), body);
            Lab.log("client sent " + id);
            Lab.log("client got " + id + " status " + connection.receive().status());
        } catch (IOException failure) {
            Lab.log("client lost " + id + ": " + failure.getMessage());
        }
    }

    private static void stream(Replica replica, Http.Message request, OutputStream out) throws IOException {
        if (request.field("Inputs") == null) {
            Replica.answer(out, request, 400, "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String id = request.field("Attempt-Id");
        Lab.log(replica.id + " runs " + id);
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                + "\r\nReplica-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int number = 1; number <= 5; number++) {
            String event = "id: " + number + "\ndata: x\n\n";
            out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            out.flush();
            Lab.sleep(40);
        }
        out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
    }
}
