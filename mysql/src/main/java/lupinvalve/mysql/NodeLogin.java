package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.spec.X509EncodedKeySpec;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Cipher;
import lupinvalve.log.Log;
import lupinvalve.net.Framer;

/** The login of one connection to a db node, from the server's handshake to its OK packet. Core thread only. */
final class NodeLogin {
    static final int MAX_PACKET_BYTES = 4 << 20;
    private static final String OAEP = "RSA/ECB/OAEPWithSHA-1AndMGF1Padding";
    private static final long WANTED_CAPABILITIES = Protocol.LONG_PASSWORD
            | Protocol.FOUND_ROWS
            | Protocol.PROTOCOL_41
            | Protocol.TRANSACTIONS
            | Protocol.SECURE_CONNECTION
            | Protocol.PLUGIN_AUTH
            | Protocol.SESSION_TRACK
            | Protocol.DEPRECATE_EOF
            | Protocol.QUERY_ATTRIBUTES;
    private static final int NONCE_BYTES = 20;
    private static final int FIRST_NONCE_BYTES = 8;
    private static final int CHARSET_UTF8MB4 = 45;
    private static final int AUTH_OK = 0;
    private static final int AUTH_MORE_DATA = 1;
    private static final int AUTH_SWITCH_REQUEST = 0xFE;
    private static final int ERR = 0xFF;
    private static final int FULL_AUTHENTICATION = 4;
    private static final int REQUEST_PUBLIC_KEY = 2;

    /** The account that connections log in with; {@code database} may be empty. */
    record Account(String user, String password, String database) {}

    /** How far the login has come. */
    enum Status {
        /** A further packet of the server is expected. */
        CONTINUES,
        /** The server accepts commands. */
        COMPLETE,
        /** The server has sent an ERR packet. */
        REJECTED
    }

    /**
     * What follows from a packet of the server.
     *
     * @param response what is to be sent, or null for nothing
     */
    record Step(Status status, PacketWriter response) {
        private static final Step WAIT = new Step(Status.CONTINUES, null);
        private static final Step COMPLETE = new Step(Status.COMPLETE, null);
        private static final Step REJECTED = new Step(Status.REJECTED, null);

        private static Step send(PacketWriter response) {
            return new Step(Status.CONTINUES, response);
        }
    }

    private final Account account;
    private boolean hasHandshake;
    private long capabilities;
    private byte[] nonce = new byte[0];
    private String authPlugin = Protocol.NATIVE_PASSWORD;
    private boolean isKeyRequested;

    NodeLogin(Account account) {
        this.account = account;
    }

    /** Loads the cipher for passwords: the JVM's first one takes 0.1 s, for which the core thread must not stall. */
    static void loadCipher() {
        try {
            Cipher.getInstance(OAEP);
        } catch (GeneralSecurityException e) {
            Log.warn(
                    "cipher %s is missing: logins by caching_sha2_password succeed only on servers that have the password cached",
                    OAEP);
        }
    }

    /** Whether both sides have a capability; valid once the handshake has been taken. */
    boolean hasCapability(int capability) {
        return (capabilities & capability) != 0;
    }

    /** Takes a packet of the server, with its header. */
    Step take(byte[] packet) throws Framer.Malformed {
        if (!hasHandshake) {
            return takeHandshake(packet);
        }
        PacketReader in = new PacketReader(packet);
        return switch (in.int1()) {
            case AUTH_OK -> Step.COMPLETE;
            case AUTH_SWITCH_REQUEST -> takeSwitchRequest(in);
            case AUTH_MORE_DATA -> takeMoreData(in);
            case ERR -> Step.REJECTED;
            default -> throw new Framer.Malformed("unexpected packet during the login");
        };
    }

    private Step takeHandshake(byte[] packet) throws Framer.Malformed {
        PacketReader in = new PacketReader(packet);
        int version = in.int1();
        if (version == ERR) {
            return Step.REJECTED;
        }
        in.nulTerminated();
        in.fixedInt(4);
        byte[] first = in.raw(FIRST_NONCE_BYTES);
        in.int1();
        long offered = in.fixedInt(2);
        in.int1();
        in.fixedInt(2);
        offered |= in.fixedInt(2) << 16;
        int nonceBytes = in.int1();
        in.raw(10);
        byte[] second = in.raw(Math.min(in.remaining(), Math.max(13, nonceBytes - FIRST_NONCE_BYTES)));
        nonce = Arrays.copyOf(first, NONCE_BYTES);
        System.arraycopy(second, 0, nonce, FIRST_NONCE_BYTES, Math.min(NONCE_BYTES - FIRST_NONCE_BYTES, second.length));
        authPlugin = (offered & Protocol.PLUGIN_AUTH) != 0 ? in.nulTerminated() : Protocol.NATIVE_PASSWORD;
        long required = Protocol.PROTOCOL_41 | Protocol.SESSION_TRACK | Protocol.DEPRECATE_EOF;
        if (version != 10 || (offered & required) != required) {
            throw new Framer.Malformed("server lacks protocol 4.1, SESSION_TRACK or DEPRECATE_EOF");
        }
        long databaseCapability = account.database().isEmpty() ? 0 : Protocol.CONNECT_WITH_DB;
        capabilities = offered & (WANTED_CAPABILITIES | databaseCapability);
        hasHandshake = true;
        return Step.send(handshakeResponse());
    }

    private PacketWriter handshakeResponse() {
        byte[] scrambled = Protocol.scramble(authPlugin, account.password(), nonce);
        byte[] authResponse = scrambled == null ? new byte[0] : scrambled;
        PacketWriter out = new PacketWriter()
                .fixedInt(capabilities, 4)
                .fixedInt(MAX_PACKET_BYTES, 4)
                .int1(CHARSET_UTF8MB4)
                .raw(new byte[23])
                .nulTerminated(account.user());
        out.int1(authResponse.length).raw(authResponse);
        if (hasCapability(Protocol.CONNECT_WITH_DB)) {
            out.nulTerminated(account.database());
        }
        return out.nulTerminated(authPlugin);
    }

    private Step takeSwitchRequest(PacketReader in) throws Framer.Malformed {
        authPlugin = in.nulTerminated();
        nonce = Arrays.copyOf(in.rest(), NONCE_BYTES);
        byte[] authResponse = Protocol.scramble(authPlugin, account.password(), nonce);
        if (authResponse == null) {
            throw new Framer.Malformed("unsupported authentication plugin " + authPlugin);
        }
        return Step.send(new PacketWriter().raw(authResponse));
    }

    /** Takes AuthMoreData: a server without the cached password needs it encrypted with its public key. */
    private Step takeMoreData(PacketReader in) throws Framer.Malformed {
        byte[] data = in.rest();
        if (isKeyRequested) {
            isKeyRequested = false;
            return Step.send(new PacketWriter().raw(encryptedPassword(data)));
        }
        if (data.length == 1 && data[0] == FULL_AUTHENTICATION) {
            isKeyRequested = true;
            return Step.send(new PacketWriter().int1(REQUEST_PUBLIC_KEY));
        }
        return Step.WAIT;
    }

    private byte[] encryptedPassword(byte[] pem) throws Framer.Malformed {
        try {
            String key = new String(pem, ISO_8859_1).replaceAll("-----[A-Z ]+-----", "");
            Cipher cipher = Cipher.getInstance(OAEP);
            cipher.init(
                    Cipher.ENCRYPT_MODE,
                    KeyFactory.getInstance("RSA")
                            .generatePublic(new X509EncodedKeySpec(
                                    Base64.getMimeDecoder().decode(key))));
            return cipher.doFinal(Protocol.xor((account.password() + "\0").getBytes(UTF_8), nonce));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new Framer.Malformed("unusable public key: " + e.getMessage());
        }
    }
}
