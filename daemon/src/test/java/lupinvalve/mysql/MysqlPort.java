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
import java.util.concurrent.atomic.AtomicInteger;
import javax.crypto.Cipher;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.DbNode.Makes;
import lupinvalve.net.Framer;

/** Speaks MySQL's protocol for a scripted db node: the stand-in for a server that tracks session state. */
public final class MysqlPort {
    public static final String USER = "pooler", PASSWORD = "soap";
    private static final byte[] NONCE = "abcdefghijklmnopqrst".getBytes(UTF_8);
    private static final KeyPair KEYS = keys();
    private final DbNode node;
    private final boolean cached;
    /** Statements prepared here, over all connections. */
    public final AtomicInteger prepares = new AtomicInteger();

    /** @param cached whether the server has the account's password cached; else it asks for it under its key */
    public MysqlPort(DbNode node, boolean cached) throws IOException {
        this.node = node;
        this.cached = cached;
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

    /** Made once: it takes longer than a connection may to come up. */
    private static KeyPair keys() {
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
        private final Map<Integer, String> ahead = new HashMap<>();
        private int sequence;

        Session(Socket socket) throws IOException {
            this.socket = socket;
            in = socket.getInputStream();
        }

        private byte[] read() throws IOException {
            byte[] head = in.readNBytes(4);
            if (head.length < 4) {
                throw new IOException("end");
            }
            sequence = head[3] + 1;
            byte[] packet = Arrays.copyOf(head, 4 + (head[0] & 255 | (head[1] & 255) << 8 | (head[2] & 255) << 16));
            in.readNBytes(packet, 4, packet.length - 4);
            return packet;
        }

        private void write(Out out) throws IOException {
            socket.getOutputStream().write(out.packet(sequence++));
        }

        void run() throws IOException, Framer.Malformed, GeneralSecurityException {
            login();
            while (true) {
                In packet = new In(read());
                switch (packet.int1()) {
                    case 3 -> {
                        Map<String, String> fields = new HashMap<>();
                        int count = (int) packet.lenenc();
                        packet.lenenc();
                        if (count > 0) {
                            Params.read(packet, count, true, null, List.of())
                                    .forEach(p -> fields.put(p.name(), p.text()));
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
                        packet.fixed(4);
                        ahead.merge((int) packet.fixed(2), new String(packet.rest(), UTF_8), String::concat);
                    }
                    case 25 -> prepared.remove(packet.fixed(4));
                    default -> throw new IOException("command");
                }
            }
        }

        private void login() throws IOException, Framer.Malformed, GeneralSecurityException {
            long capabilities = 0x200 | 0x8000 | 0x80000 | 0x800000 | 0x1000000 | 0x8000000;
            write(new Out()
                    .int1(10)
                    .zero("8.0.0")
                    .fixed(1, 4)
                    .raw(Arrays.copyOf(NONCE, 8))
                    .int1(0)
                    .fixed(capabilities & 0xFFFF, 2)
                    .int1(45)
                    .fixed(2, 2)
                    .fixed(capabilities >> 16, 2)
                    .int1(21)
                    .raw(new byte[10])
                    .raw(Arrays.copyOfRange(NONCE, 8, 20))
                    .int1(0)
                    .zero("caching_sha2_password"));
            In packet = new In(read());
            packet.raw(32);
            String user = packet.zero();
            byte[] proof = packet.raw(packet.int1());
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] once = sha.digest(PASSWORD.getBytes(UTF_8));
            sha.update(sha.digest(once));
            byte[] mask = sha.digest(NONCE);
            for (int i = 0; i < mask.length; i++) {
                mask[i] ^= once[i];
            }
            if (cached) {
                write(new Out().int1(1).int1(3));
            }
            if (user.equals(USER) && Arrays.equals(mask, proof) && (cached || underKey())) {
                ok(0);
            } else {
                error(1045, "28000");
            }
        }

        private boolean underKey() throws IOException, GeneralSecurityException, Framer.Malformed {
            KeyPair pair = KEYS;
            write(new Out().int1(1).int1(4));
            read();
            write(new Out()
                    .int1(1)
                    .text("-----BEGIN PUBLIC KEY-----\n"
                            + Base64.getMimeEncoder()
                                    .encodeToString(pair.getPublic().getEncoded())
                            + "\n-----END PUBLIC KEY-----\n"));
            Cipher cipher = Cipher.getInstance("RSA/ECB/OAEPWithSHA-1AndMGF1Padding");
            cipher.init(Cipher.DECRYPT_MODE, pair.getPrivate());
            byte[] open = cipher.doFinal(new In(read()).rest());
            for (int i = 0; i < open.length; i++) {
                open[i] ^= NONCE[i % 20];
            }
            return new String(open, UTF_8).equals(PASSWORD + "\0");
        }

        private void prepare(String statement) throws IOException {
            prepares.incrementAndGet();
            long id = 7 + prepared.size() * 3L;
            prepared.put(id, statement);
            int places = statement.replaceAll("[^?]", "").length();
            write(new Out()
                    .int1(0)
                    .fixed(id, 4)
                    .fixed(1, 2)
                    .fixed(places, 2)
                    .int1(0)
                    .fixed(0, 2));
            for (int i = 0; i < places + 1; i++) {
                write(Variables.column("c"));
            }
        }

        private boolean execute(In packet) throws IOException, Framer.Malformed {
            String statement = prepared.get(packet.fixed(4));
            packet.raw(5);
            if (statement == null) {
                error(1243, "HY000");
                return true;
            }
            int places = statement.replaceAll("[^?]", "").length();
            List<Boolean> sent = new ArrayList<>();
            for (int i = 0; i < places; i++) {
                sent.add(ahead.containsKey(i));
            }
            List<Params.Param> params = Params.read(packet, (int) packet.lenenc(), true, null, sent);
            Map<String, String> fields = DbNode.fields(statement);
            StringBuilder values = new StringBuilder();
            for (int i = 0; i < params.size(); i++) {
                if (i < places) {
                    values.append(" <")
                            .append(sent.get(i) ? ahead.get(i) : params.get(i).text())
                            .append('>');
                } else {
                    fields.put(params.get(i).name(), params.get(i).text());
                }
            }
            ahead.clear();
            return answer(statement + values, fields, true);
        }

        private boolean answer(String statement, Map<String, String> fields, boolean binary) throws IOException {
            Makes makes = node.decide(statement, fields);
            switch (makes) {
                case SPOILT -> socket.getOutputStream().write(node.strange);
                case SERVED, MORE -> {
                    write(new Out().lenenc(1));
                    write(Variables.column("blob"));
                    write(binary ? new Out().int1(0).int1(0).counted("value") : new Out().counted("value"));
                    ok(0xFE);
                    socket.getOutputStream().write(makes == Makes.MORE ? node.strange : new byte[0]);
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
            byte[] asOf = new Out()
                    .counted("as_of")
                    .counted(Long.toString(node.asOf.getAsLong()))
                    .payload();
            byte[] rank = new Out().counted("rank").counted(node.rank()).payload();
            write(new Out()
                    .int1(header)
                    .lenenc(0)
                    .lenenc(0)
                    .fixed(2 | 0x4000, 2)
                    .fixed(0, 2)
                    .counted("")
                    .counted(new Out()
                            .int1(0)
                            .counted(asOf)
                            .int1(0)
                            .counted(rank)
                            .payload()));
        }

        private void error(int code, String state) throws IOException {
            write(new Out().int1(0xFF).fixed(code, 2).raw(("#" + state + "no").getBytes(ISO_8859_1)));
        }
    }
}
