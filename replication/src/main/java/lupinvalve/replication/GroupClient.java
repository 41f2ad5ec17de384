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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import lupinvalve.config.OperatorConfig;
import lupinvalve.net.Addresses;

/**
 * Asks the group, for the command line: one member after another until one can answer. What may have happened is told
 * as that, and not asked again, unless asking again can do no harm.
 */
public final class GroupClient {
    private static final int CONNECT_MILLIS = 2_000, PAUSE_MILLIS = 150, LENGTH_MOST = 16 << 20;
    private final String cluster, name;
    private final SSLContext tls;
    private final Map<String, String> members;

    /** What came of it. */
    public record Result(WireMessages.Status status, String text) {}

    /** @param members whom to ask, by name; the first that answers is asked */
    public GroupClient(String cluster, Map<String, String> members, OperatorConfig.Tls files) throws IOException {
        this.cluster = cluster;
        this.members = members;
        tls = files == null ? null : Tls.context(files);
        name = files == null ? "operator" : named(files);
    }

    private static String named(OperatorConfig.Tls files) throws IOException {
        try {
            X509Certificate own = (X509Certificate) CertificateFactory.getInstance("X.509")
                    .generateCertificate(new ByteArrayInputStream(Files.readAllBytes(files.certificate())));
            return String.valueOf(
                    own.getSubjectAlternativeNames().iterator().next().get(1));
        } catch (GeneralSecurityException | RuntimeException e) {
            throw new IOException("store.tls.certificate: " + files.certificate() + ": " + e.getMessage(), e);
        }
    }

    /** Reads a stopped member's audit entries, each life's apart, and says whether they are one chain. */
    public static String verifyAudit(java.nio.file.Path folder) throws IOException {
        List<lupinvalve.audit.AuditEntry> all = new ArrayList<>();
        try (Disk disk = new FolderDisk(folder, false)) {
            for (String file : disk.names()) {
                if (file.startsWith(AuditLog.FILE)) {
                    all.addAll(AuditLog.read(disk, file));
                }
            }
        }
        return AuditQueries.verified(all);
    }

    /**
     * Asks until there is an answer or the time is over.
     *
     * @param again whether it may be asked again where it may have happened
     */
    public Result ask(String call, List<byte[]> arguments, boolean again, long withinMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        Result last = new Result(WireMessages.Status.RETRY, "no member is in reach");
        while (true) {
            for (Map.Entry<String, String> member : members.entrySet()) {
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (left <= 0) {
                    return last;
                }
                last = ask(member.getKey(), member.getValue(), call, arguments, left);
                boolean over = last.status() == WireMessages.Status.INDETERMINATE
                        ? !again
                        : last.status() != WireMessages.Status.RETRY;
                if (over) {
                    return last;
                }
            }
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return last;
            }
        }
    }

    private static byte[] message(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 1 || length > LENGTH_MOST) {
            throw new IOException("a message of " + length + " bytes");
        }
        byte[] message = new byte[length];
        in.readFully(message);
        return message;
    }

    private Result ask(String member, String address, String call, List<byte[]> arguments, long withinMillis) {
        boolean sent = false;
        try (Session session = open(member, address, withinMillis)) {
            sent = true;
            session.send(call, arguments);
            WireMessages.Response answer = session.receive();
            return new Result(answer.status(), answer.text());
        } catch (IOException | IllegalArgumentException e) {
            String why = member + " at " + address + ": "
                    + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
            return new Result(sent ? WireMessages.Status.INDETERMINATE : WireMessages.Status.RETRY, why);
        }
    }

    /** A connection to one member, for several calls under way at once. */
    public Session open(String member, String address, long withinMillis) throws IOException {
        Socket plain = new Socket();
        try {
            InetSocketAddress at = Addresses.parse(address);
            plain.connect(at, (int) Math.min(CONNECT_MILLIS, withinMillis));
            plain.setTcpNoDelay(true);
            plain.setSoTimeout((int) Math.min(Integer.MAX_VALUE, withinMillis));
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

    /** Calls on one connection; answers come in any order. One thread may send while another receives. */
    public final class Session implements Closeable {
        private final Socket socket;
        private final DataInputStream in;
        private long last;

        private Session(Socket socket) throws IOException {
            this.socket = socket;
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            // The member speaks first.
            message(in);
            socket.getOutputStream().write(new WireMessages.Hello(cluster, name, "", null).write());
        }

        /** Sends a call; gives its number. */
        public long send(String call, List<byte[]> arguments) throws IOException {
            socket.getOutputStream().write(new WireMessages.Request(++last, call, arguments).write());
            return last;
        }

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

    /**
     * A stopped member's folder, read whole: what it holds, as JSON. Throws with one line that says what is damaged.
     */
    public static String verify(java.nio.file.Path folder, boolean secrets) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": no such folder");
        }
        try (Disk disk = new FolderDisk(folder, true)) {
            SegmentedLog log = SegmentedLog.inspect(disk);
            lupinvalve.statemachine.ReplicatedState ledger = RaftReplica.warm(log);
            List<String> files = new ArrayList<>(disk.names());
            return Json.object(out -> {
                out.writeStringField("member", log.announcement().member().toString());
                out.writeStringField("phase", log.announcement().phase().statusName());
                out.writeNumberField("term", log.currentTerm());
                out.writeNumberField("last_change", log.lastIndex());
                out.writeNumberField("accepted_change", ledger.appliedIndex());
                out.writeNumberField("revision", ledger.revision());
                out.writeStringField(
                        "digest",
                        ledger.document() == null ? "" : ledger.document().digest());
                out.writeNumberField("sessions", ledger.sessionCount());
                out.writeNumberField("holds", ledger.drains().size());
                out.writeNumberField("files", files.size());
                if (ledger.document() != null) {
                    out.writeFieldName("document");
                    out.writeRawValue(
                            secrets
                                    ? Json.text(ledger.document().content())
                                    : Json.masked(ledger.document().content()));
                }
            });
        }
    }
}
