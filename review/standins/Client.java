import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One connection of a consumer. */
final class Client implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;
    private final OutputStream out;

    Client(String ip, int port, int timeoutMillis) throws IOException {
        this(ip, port, timeoutMillis, 0);
    }

    /** With a receive buffer of [window] bytes, as behind a slow link, unless it is 0. */
    Client(String ip, int port, int timeoutMillis, int window) throws IOException {
        if (window > 0) socket.setReceiveBufferSize(window);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        in = window > 0 ? socket.getInputStream() : Http.buffered(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String head, byte[] body) throws IOException {
        byte[] headBytes = Http.bytes(head);
        if (body.length < 32_768) {
            byte[] all = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            out.write(all);
        } else {
            out.write(headBytes);
            out.write(body);
        }
        out.flush();
    }

    Http.Message receive() throws IOException {
        Http.Message message = Http.message(in);
        if (message == null) throw new IOException("closed without an answer");
        return message;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
