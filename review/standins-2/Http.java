import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 connection with the byte-level control that stand-ins need. */
final class Http implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Http(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** A head with its body; {@code complete} is false if the connection ended first. */
    static final class Message {
        String start = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String get(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The next head; null at the end of the connection. */
    Message head() throws IOException {
        String start = line();
        if (start == null) return null;
        Message message = new Message();
        message.start = start;
        while (true) {
            String line = line();
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    /** Reads the body of {@code message}; of a response without a length up to the end. */
    void body(Message message, boolean isResponse) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            String length = message.get("Content-Length");
            if ("chunked".equalsIgnoreCase(message.get("Transfer-Encoding"))) {
                while (true) {
                    String size = line();
                    if (size == null) throw new EOFException("end within chunks");
                    int left = Integer.parseInt(size.trim(), 16);
                    copy(left, bytes);
                    if (!"".equals(line())) throw new EOFException("invalid chunk");
                    if (left == 0) break;
                }
            } else if (length != null) {
                copy(Integer.parseInt(length), bytes);
            } else if (isResponse) {
                for (int b; (b = in.read()) >= 0; ) bytes.write(b);
            }
        } catch (IOException | NumberFormatException broken) {
            message.complete = false;
        }
        message.body = bytes.toByteArray();
    }

    private void copy(int count, ByteArrayOutputStream to) throws IOException {
        for (int i = 0; i < count; i++) {
            int b = in.read();
            if (b < 0) throw new EOFException("end within a body");
            to.write(b);
        }
    }

    private String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b; (b = in.read()) >= 0; ) {
            if (b == '\n') return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            bytes.write(b);
        }
        return null;
    }

    void write(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    void answer(int status, String headers, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        byte[] head = ("HTTP/1.1 " + status + " Answer\r\n" + headers + "Content-Length: " + length
            + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head);
        all.write(body.getBytes(StandardCharsets.UTF_8));
        out.write(all.toByteArray());
        out.flush();
    }

    /** Closes with a reset. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException ignored) {
            // It is closed already.
        }
        close();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to do.
        }
    }
}
