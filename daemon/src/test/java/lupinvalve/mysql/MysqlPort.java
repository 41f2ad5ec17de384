package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import javax.crypto.Cipher;
import lupinvalve.config.OperatorConfig;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.DbNode.Makes;
import lupinvalve.integration.World;
import lupinvalve.net.Framer;

/** MySQL endpoint of a scripted db node: stands in for a MySQL server that tracks session state. */
public final class MysqlPort {
    public static final String USER = "pooler";
    public static final String PASSWORD = "soap";
    private static final byte[] NONCE = "abcdefghijklmnopqrst".getBytes(UTF_8);
    private static final KeyPair RSA_KEYS = generateKeys();
    private final DbNode node;
    private final boolean isPasswordCached;
    /** Statements prepared at this server, over all connections. */
    public final AtomicInteger prepareCount = new AtomicInteger();
    /** Statements are answered as prepared once it is open. */
    public volatile CountDownLatch preparesHold = new CountDownLatch(0);

    /**
     * Starts the endpoint and registers its address with the node.
     *
     * @param isPasswordCached whether the server has the account's password cached; if not, it requires the password
     *     encrypted with its public key
     */
    public MysqlPort(DbNode node, boolean isPasswordCached) throws IOException {
        this.node = node;
        this.isPasswordCached = isPasswordCached;
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        node.mysql = "127.0.0.1:" + server.getLocalPort();
        node.serve(server, socket -> {
            try {
                new Session(socket).run();
            } catch (Framer.Malformed | GeneralSecurityException e) {
                throw new IOException(e);
            }
        });
    }

    /** The configuration of a pooler before such servers, with the account {@code portal} for clients. */
    static OperatorConfig operatorConfig() {
        return new OperatorConfig(
                1, new OperatorConfig.Mysql("127.0.0.1:0", "portal", "towel", 0, USER, PASSWORD, ""), null, null);
    }

    /** Generated once for all servers: it takes longer than the pooler's connect timeout. */
    private static KeyPair generateKeys() {
        try {
            return KeyPairGenerator.getInstance("RSA").generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private final class Session {
        private final Socket socket;
        private final InputStream in;
        private final Map<Long, String> prepared = new HashMap<>();
        private final Map<Integer, String> longData = new HashMap<>();
        private int sequence;

        Session(Socket socket) throws IOException {
            this.socket = socket;
            in = socket.getInputStream();
        }

        private byte[] read() throws IOException {
            byte[] head = in.readNBytes(4);
            if (head.length < 4) {
                throw new IOException("connection closed");
            }
            sequence = head[3] + 1;
            byte[] packet = Arrays.copyOf(head, 4 + (head[0] & 255 | (head[1] & 255) << 8 | (head[2] & 255) << 16));
            in.readNBytes(packet, 4, packet.length - 4);
            return packet;
        }

        private void write(PacketWriter out) throws IOException {
            socket.getOutputStream().write(out.packet(sequence++));
        }

        void run() throws IOException, Framer.Malformed, GeneralSecurityException {
            login();
            while (true) {
                PacketReader packet = new PacketReader(read());
                switch (packet.int1()) {
                    case 3 -> {
                        Map<String, String> fields = new HashMap<>();
                        int count = (int) packet.lengthEncodedInt();
                        packet.lengthEncodedInt();
                        if (count > 0) {
                            Params.read(packet, count, true, null, List.of())
                                    .forEach(param -> fields.put(param.name(), param.text()));
                        }
                        String statement = new String(packet.rest(), UTF_8);
                        fields.putAll(DbNode.fields(statement));
                        if (!answer(statement, fields, false)) {
                            return;
                        }
                    }
                    case 14 -> ok(0);
                    case 22 -> prepare(new String(packet.rest(), UTF_8));
                    case 23 -> {
                        if (!execute(packet)) {
                            return;
                        }
                    }
                    case 24 -> {
                        packet.fixedInt(4);
                        longData.merge((int) packet.fixedInt(2), new String(packet.rest(), UTF_8), String::concat);
                    }
                    case 25 -> prepared.remove(packet.fixedInt(4));
                    default -> throw new IOException("unknown command");
                }
            }
        }

        private void login() throws IOException, Framer.Malformed, GeneralSecurityException {
            long capabilities = 0x200 | 0x8000 | 0x80000 | 0x800000 | 0x1000000 | 0x8000000;
            write(new PacketWriter()
                    .int1(10)
                    .nulTerminated("8.0.0")
                    .fixedInt(1, 4)
                    .raw(Arrays.copyOf(NONCE, 8))
                    .int1(0)
                    .fixedInt(capabilities & 0xFFFF, 2)
                    .int1(45)
                    .fixedInt(2, 2)
                    .fixedInt(capabilities >> 16, 2)
                    .int1(21)
                    .raw(new byte[10])
                    .raw(Arrays.copyOfRange(NONCE, 8, 20))
                    .int1(0)
                    .nulTerminated("caching_sha2_password"));
            PacketReader packet = new PacketReader(read());
            packet.raw(32);
            String user = packet.nulTerminated();
            byte[] authResponse = packet.raw(packet.int1());
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha.digest(PASSWORD.getBytes(UTF_8));
            sha.update(sha.digest(hash));
            byte[] expected = sha.digest(NONCE);
            for (int i = 0; i < expected.length; i++) {
                expected[i] ^= hash[i];
            }
            if (isPasswordCached) {
                write(new PacketWriter().int1(1).int1(3));
            }
            if (user.equals(USER)
                    && Arrays.equals(expected, authResponse)
                    && (isPasswordCached || takesEncryptedPassword())) {
                ok(0);
            } else {
                error(1045, "28000");
            }
        }

        /** Sends the public key on request; returns whether the client answers with the right password. */
        private boolean takesEncryptedPassword() throws IOException, GeneralSecurityException, Framer.Malformed {
            KeyPair keys = RSA_KEYS;
            write(new PacketWriter().int1(1).int1(4));
            read();
            write(new PacketWriter()
                    .int1(1)
                    .text("-----BEGIN PUBLIC KEY-----\n"
                            + Base64.getMimeEncoder()
                                    .encodeToString(keys.getPublic().getEncoded())
                            + "\n-----END PUBLIC KEY-----\n"));
            Cipher cipher = Cipher.getInstance("RSA/ECB/OAEPWithSHA-1AndMGF1Padding");
            cipher.init(Cipher.DECRYPT_MODE, keys.getPrivate());
            byte[] decrypted = cipher.doFinal(new PacketReader(read()).rest());
            for (int i = 0; i < decrypted.length; i++) {
                decrypted[i] ^= NONCE[i % 20];
            }
            return new String(decrypted, UTF_8).equals(PASSWORD + "\0");
        }

        private void prepare(String statement) throws IOException {
            prepareCount.incrementAndGet();
            World.hold(preparesHold);
            long id = 7 + prepared.size() * 3L;
            prepared.put(id, statement);
            int placeholders = statement.replaceAll("[^?]", "").length();
            write(new PacketWriter()
                    .int1(0)
                    .fixedInt(id, 4)
                    .fixedInt(1, 2)
                    .fixedInt(placeholders, 2)
                    .int1(0)
                    .fixedInt(0, 2));
            for (int i = 0; i < placeholders + 1; i++) {
                write(Variables.columnDefinition("c"));
            }
        }

        private boolean execute(PacketReader packet) throws IOException, Framer.Malformed {
            String statement = prepared.get(packet.fixedInt(4));
            packet.raw(5);
            if (statement == null) {
                error(1243, "HY000");
                return true;
            }
            int placeholders = statement.replaceAll("[^?]", "").length();
            List<Boolean> sentAsLongData = new ArrayList<>();
            for (int i = 0; i < placeholders; i++) {
                sentAsLongData.add(longData.containsKey(i));
            }
            List<Params.Param> params =
                    Params.read(packet, (int) packet.lengthEncodedInt(), true, null, sentAsLongData);
            Map<String, String> fields = DbNode.fields(statement);
            StringBuilder values = new StringBuilder();
            for (int i = 0; i < params.size(); i++) {
                if (i < placeholders) {
                    values.append(" <")
                            .append(
                                    sentAsLongData.get(i)
                                            ? longData.get(i)
                                            : params.get(i).text())
                            .append('>');
                } else {
                    fields.put(params.get(i).name(), params.get(i).text());
                }
            }
            longData.clear();
            return answer(statement + values, fields, true);
        }

        private boolean answer(String statement, Map<String, String> fields, boolean binary) throws IOException {
            Makes makes = node.decide(statement, fields);
            World.hold(node.hold);
            switch (makes) {
                case SPOILT -> socket.getOutputStream().write(node.strange);
                case SERVED, MORE -> {
                    write(new PacketWriter().lengthEncodedInt(1));
                    write(Variables.columnDefinition("blob"));
                    write(
                            binary
                                    ? new PacketWriter().int1(0).int1(0).lengthEncoded("value")
                                    : new PacketWriter().lengthEncoded("value"));
                    // In one write: a client that has its answer may ask again at once.
                    byte[] last = okPacket(0xFE).packet(sequence++);
                    byte[] behind = makes == Makes.MORE ? node.strange : new byte[0];
                    socket.getOutputStream()
                            .write(new PacketWriter().raw(last).raw(behind).payload());
                }
                case MISS -> error(1290, "HY000");
                case BEHIND -> error(1105, "72000");
                case FULL -> error(1040, "08004");
                case ERROR -> error(1105, "HY000");
                case HANG -> {
                    in.read();
                    return false;
                }
                default -> {
                    return false;
                }
            }
            return true;
        }

        private void ok(int header) throws IOException {
            write(okPacket(header));
        }

        private PacketWriter okPacket(int header) {
            byte[] asOf = new PacketWriter()
                    .lengthEncoded("as_of")
                    .lengthEncoded(Long.toString(node.asOf.getAsLong()))
                    .payload();
            byte[] rank = new PacketWriter()
                    .lengthEncoded("rank")
                    .lengthEncoded(node.rank())
                    .payload();
            return new PacketWriter()
                    .int1(header)
                    .lengthEncodedInt(0)
                    .lengthEncodedInt(0)
                    .fixedInt(2 | 0x4000, 2)
                    .fixedInt(0, 2)
                    .lengthEncoded("")
                    .lengthEncoded(new PacketWriter()
                            .int1(0)
                            .lengthEncoded(asOf)
                            .int1(0)
                            .lengthEncoded(rank)
                            .payload());
        }

        private void error(int code, String state) throws IOException {
            write(new PacketWriter().int1(0xFF).fixedInt(code, 2).raw(("#" + state + "no").getBytes(ISO_8859_1)));
        }
    }
}
