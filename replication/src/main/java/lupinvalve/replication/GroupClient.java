package lupinvalve.replication;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import lupinvalve.config.OperatorConfig;
import lupinvalve.net.Addresses;

/**
 * Sends requests to the group, for the command line and for tools: one member after another until one can answer. What
 * may have happened is reported as that, and not retried unless a retry can do no harm. Safe for all threads.
 */
public final class GroupClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int RETRY_BACKOFF_MILLIS = 150;

    private final String cluster;
    private final String name;
    /** Null without TLS. */
    private final SSLContext tls;

    private final Map<String, String> members;

    /** What became of a request: a JSON text, or why there is none. */
    public record Result(WireMessages.Status status, String text) {}

    /**
     * A client that has shown nothing yet.
     *
     * @param members addresses of the members to ask, by name
     * @param files keys and certificates, or null for none
     * @throws IOException where the keys can't be used
     */
    public GroupClient(String cluster, Map<String, String> members, OperatorConfig.Tls files) throws IOException {
        this.cluster = cluster;
        this.members = members;
        tls = files == null ? null : Tls.context(files);
        name = files == null ? "operator" : certifiedName(files);
    }

    private static String certifiedName(OperatorConfig.Tls files) throws IOException {
        try {
            X509Certificate own = (X509Certificate) CertificateFactory.getInstance("X.509")
                    .generateCertificate(new ByteArrayInputStream(Files.readAllBytes(files.certificate())));
            return String.valueOf(
                    own.getSubjectAlternativeNames().iterator().next().get(1));
        } catch (GeneralSecurityException | RuntimeException e) {
            throw new IOException("store.tls.certificate: " + files.certificate() + ": " + e.getMessage(), e);
        }
    }

    /**
     * Sends a request until there is a response or the time is over.
     *
     * @param idempotent whether it may be retried where it may have happened
     */
    public Result call(String request, List<byte[]> arguments, boolean idempotent, long timeoutMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Result last = new Result(WireMessages.Status.RETRY, "no member is in reach");
        while (true) {
            for (Map.Entry<String, String> member : members.entrySet()) {
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (left <= 0) {
                    return last;
                }
                last = callMember(member.getKey(), member.getValue(), request, arguments, left);
                boolean over = last.status() == WireMessages.Status.INDETERMINATE
                        ? !idempotent
                        : last.status() != WireMessages.Status.RETRY;
                if (over) {
                    return last;
                }
            }
            try {
                Thread.sleep(RETRY_BACKOFF_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return last;
            }
        }
    }

    private static byte[] message(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 1 || length > WireMessages.MAX_LENGTH_BYTES) {
            throw new IOException("a message of " + length + " bytes");
        }
        byte[] message = new byte[length];
        in.readFully(message);
        return message;
    }

    private Result callMember(
            String member, String address, String request, List<byte[]> arguments, long timeoutMillis) {
        boolean sent = false;
        try (Session session = open(member, address, timeoutMillis)) {
            sent = true;
            session.send(request, arguments);
            WireMessages.Response response = session.receive();
            return new Result(response.status(), response.text());
        } catch (IOException | IllegalArgumentException e) {
            String why = member + " at " + address + ": "
                    + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
            return new Result(sent ? WireMessages.Status.INDETERMINATE : WireMessages.Status.RETRY, why);
        }
    }

    /**
     * A connection to one member, for several requests in flight at once.
     *
     * @throws IOException where it can't be reached, or is not who it should be
     */
    public Session open(String member, String address, long timeoutMillis) throws IOException {
        Socket plain = new Socket();
        try {
            InetSocketAddress at = Addresses.parse(address);
            plain.connect(at, (int) Math.min(CONNECT_TIMEOUT_MILLIS, timeoutMillis));
            plain.setTcpNoDelay(true);
            plain.setSoTimeout((int) Math.min(Integer.MAX_VALUE, timeoutMillis));
            Socket socket = plain;
            if (tls != null) {
                SSLSocket secure =
                        (SSLSocket) tls.getSocketFactory().createSocket(plain, at.getHostString(), at.getPort(), true);
                secure.setEnabledProtocols(new String[] {Tls.VERSION});
                secure.startHandshake();
                Tls.check(secure.getSession(), member);
                socket = secure;
            }
            return new Session(socket);
        } catch (IOException | RuntimeException e) {
            plain.close();
            throw e;
        }
    }

    /** Requests on one connection; responses come in any order. One thread may send while another receives. */
    public final class Session implements Closeable {
        private final Socket socket;
        private final DataInputStream in;
        private long lastId;

        private Session(Socket socket) throws IOException {
            this.socket = socket;
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            // The member speaks first.
            message(in);
            socket.getOutputStream().write(new WireMessages.Hello(cluster, name, "", null).write());
        }

        /** Sends a request; gives its number. */
        public long send(String request, List<byte[]> arguments) throws IOException {
            socket.getOutputStream().write(new WireMessages.Request(++lastId, request, arguments).write());
            return lastId;
        }

        /** Waits for the next response, to whichever request. */
        public WireMessages.Response receive() throws IOException {
            while (true) {
                byte[] message = message(in);
                if (WireMessages.kind(message) == WireMessages.Kind.RESPONSE) {
                    return WireMessages.Response.read(WireMessages.body(message));
                }
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
