import java.io.IOException;
import java.net.SocketTimeoutException;

/** A consumer with one kept connection; it sends one request at a time. */
final class Client implements AutoCloseable {
    /** What the consumer saw; status 0 if the connection ended without a complete answer. */
    record Outcome(String id, int status, boolean complete, Http.Message answer) {
        String text() {
            return answer == null ? "" : answer.text();
        }
    }

    private final String host;
    private final String ip;
    private final int port;
    private Http http;

    Client(Run.Host host) {
        this.host = host.name;
        ip = host.ip;
        port = host.front;
    }

    Outcome send(String method, String hostName, String path, String key, long deadlineMillis,
        String moreHeaders, String body) throws IOException {
        String id = Run.id();
        return send(id, method, hostName, path, key, deadlineMillis, moreHeaders, body);
    }

    Outcome send(String id, String method, String hostName, String path, String key,
        long deadlineMillis, String moreHeaders, String body) throws IOException {
        Run.record("sent " + id + " " + method + " " + path + " to " + host);
        Outcome outcome = exchange(id, method, hostName, path, key, deadlineMillis, moreHeaders, body);
        Run.record("answered " + id + " " + (outcome.status() == 0 ? "nothing" : outcome.status())
            + (outcome.complete() ? "" : ", not complete"));
        return outcome;
    }

    private Outcome exchange(String id, String method, String hostName, String path, String key,
        long deadlineMillis, String moreHeaders, String body) throws IOException {
        if (http == null) http = Run.connect(ip, port);
        http.socket.setSoTimeout((int) deadlineMillis + 1_000);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + hostName
            + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + moreHeaders);
        if (key != null) head.append("Credential: ").append(key).append("\r\n");
        if (!body.isEmpty()) head.append("Content-Length: ").append(body.length()).append("\r\n");
        try {
            http.write(head + "\r\n" + body);
            Http.Message answer = http.head();
            if (answer == null) {
                close();
                return new Outcome(id, 0, false, null);
            }
            http.body(answer, true);
            boolean isLast = "close".equalsIgnoreCase(answer.get("Connection"));
            if (isLast || !answer.complete) close();
            return new Outcome(id, answer.status(), answer.complete, answer);
        } catch (SocketTimeoutException late) {
            close();
            return new Outcome(id, 0, false, null);
        } catch (IOException broken) {
            close();
            return new Outcome(id, 0, false, null);
        }
    }

    boolean isOpen() {
        return http != null;
    }

    @Override
    public void close() {
        if (http != null) http.close();
        http = null;
    }
}
