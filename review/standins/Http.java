import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reading of HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** Start line, header fields by lower-case name, and body. */
    static final class Message {
        String start;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The next line without its end, or null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("ended in a line");
            }
            if (next == '\n') break;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** The next head, or null if the stream ends before it. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Message message = new Message();
        message.start = start;
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("ended in a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    /** The next message with its complete body, or null if the stream ends before it. */
    static Message message(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) return null;
        if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = chunk(in);
                if (chunk.length == 0) break;
                body.write(chunk);
            }
            message.body = body.toByteArray();
        } else if (message.field("content-length") != null) {
            message.body = exactly(in, Integer.parseInt(message.field("content-length")));
        }
        return message;
    }

    /** The next chunk; empty at the end of the body. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("ended before a chunk");
        byte[] bytes = exactly(in, Integer.parseInt(size.trim(), 16));
        String end = line(in);
        if (end == null) throw new EOFException("ended after a chunk");
        return bytes;
    }

    static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("ended " + (count - bytes.length) + " bytes early");
        }
        return bytes;
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 65536);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
