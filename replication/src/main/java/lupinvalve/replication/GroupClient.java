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
 * Sends requests to the Raft group, for the command line and for tools: to one member after another until one can
 * respond. A request that may have been carried out is reported as such, and retried only if it is idempotent.
 * Thread-safe.
 */
public final class GroupClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int RETRY_BACKOFF_MILLIS = 150;

    private final String cluster;
    /** Name sent to members: that of the certificate, if there is one. */
    private final String clientName;
    /** Null without TLS. */
    private final SSLContext tls;

    private final Map<String, String> members;

    /**
     * The result of a request.
     *
     * @param text JSON if the status is OK, else the reason
     */
    public record Result(WireMessages.Status status, String text) {}

    /**
     * Creates a client without a connection.
     *
     * @param members addresses of the members to send requests to, by name
     * @param tlsFiles key and certificates, or null to connect without TLS
     * @throws IOException if the key or the certificates can't be used
     */
    public GroupClient(String cluster, Map<String, String> members, OperatorConfig.Tls tlsFiles) throws IOException {
        this.cluster = cluster;
        this.members = members;
        tls = tlsFiles == null ? null : Tls.context(tlsFiles);
        clientName = tlsFiles == null ? "operator" : certificateName(tlsFiles);
    }

    private static String certificateName(OperatorConfig.Tls tlsFiles) throws IOException {
        try {
            X509Certificate own = (X509Certificate) CertificateFactory.getInstance("X.509")
                    .generateCertificate(new ByteArrayInputStream(Files.readAllBytes(tlsFiles.certificate())));
            return String.valueOf(
                    own.getSubjectAlternativeNames().iterator().next().get(1));
        } catch (GeneralSecurityException | RuntimeException e) {
            throw new IOException("store.tls.certificate: " + tlsFiles.certificate() + ": " + e.getMessage(), e);
        }
    }

    /**
     * Sends a request until a member responds or the timeout passes. Once it may have been carried out, only a response
     * to the whole of it says more: that a later member can't respond does not undo it.
     *
     * @param idempotent whether the request may be sent again although it may have been carried out
     */
    public Result call(String request, List<byte[]> arguments, boolean idempotent, long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Result unfinished = new Result(WireMessages.Status.RETRY, "no member is in reach");
        while (true) {
            for (Map.Entry<String, String> member : members.entrySet()) {
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
                if (remainingMillis <= 0) {
                    return unfinished;
                }
                Result last = callMember(member.getKey(), member.getValue(), request, arguments, remainingMillis);
                boolean isFinal = last.status() == WireMessages.Status.INDETERMINATE
                        ? !idempotent
                        : last.status() != WireMessages.Status.RETRY;
                if (isFinal) {
                    return last;
                }
                boolean mayHaveRun = unfinished.status() == WireMessages.Status.INDETERMINATE;
                unfinished = mayHaveRun && last.status() == WireMessages.Status.RETRY ? unfinished : last;
            }
            try {
                Thread.sleep(RETRY_BACKOFF_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return unfinished;
            }
        }
    }

    private static byte[] readMessage(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 1 || length > WireMessages.MAX_MESSAGE_BYTES) {
            throw new IOException("message of " + length + " bytes, expected 1 to " + WireMessages.MAX_MESSAGE_BYTES);
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
            String reason = member + " at " + address + ": "
                    + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
            return new Result(sent ? WireMessages.Status.INDETERMINATE : WireMessages.Status.RETRY, reason);
        }
    }

    /**
     * Opens a connection to one member, for several requests in flight at once.
     *
     * @throws IOException if the member can't be reached, or the peer's certificate is for another name
     */
    public Session open(String member, String address, long timeoutMillis) throws IOException {
        Socket plain = new Socket();
        try {
            InetSocketAddress socketAddress = Addresses.parse(address);
            plain.connect(socketAddress, (int) Math.min(CONNECT_TIMEOUT_MILLIS, timeoutMillis));
            plain.setTcpNoDelay(true);
            plain.setSoTimeout((int) Math.min(Integer.MAX_VALUE, timeoutMillis));
            Socket socket = plain;
            if (tls != null) {
                SSLSocket secure = (SSLSocket) tls.getSocketFactory()
                        .createSocket(plain, socketAddress.getHostString(), socketAddress.getPort(), true);
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

    /** Requests on one connection; responses arrive in any order. One thread may send while another receives. */
    public final class Session implements Closeable {
        private final Socket socket;
        private final DataInputStream in;
        private long lastRequestId;

        private Session(Socket socket) throws IOException {
            this.socket = socket;
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            // The accepting side, here the member, sends its Hello first.
            readMessage(in);
            socket.getOutputStream().write(new WireMessages.Hello(cluster, clientName, "", null).write());
        }

        /** Sends a request; returns its id, which its response has as well. */
        public long send(String request, List<byte[]> arguments) throws IOException {
            socket.getOutputStream().write(new WireMessages.Request(++lastRequestId, request, arguments).write());
            return lastRequestId;
        }

        /** Waits for the next response, to any request in flight; skips other messages. */
        public WireMessages.Response receive() throws IOException {
            while (true) {
                byte[] message = readMessage(in);
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
