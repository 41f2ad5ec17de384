package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;

/** The login of a MySQL client without a password, and packets of commands. */
final class MysqlLoginClient {
    /** The account of the drill's poolers. */
    static final String USER = "portal";

    private static final int PROTOCOL_41 = 0x200;
    private static final int SECURE_CONNECTION = 0x8000;
    private static final int PLUGIN_AUTH = 0x80000;
    private static final int FILLER_BYTES = 28;
    private static final int LENGTH_BYTES = 3;

    private MysqlLoginClient() {}

    /** Reads the handshake, logs in and reads the answer. */
    static void logIn(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        readPacket(in);
        socket.getOutputStream().write(handshakeResponse(USER));
        if (readPacket(in)[0] != 0) {
            throw new IOException("login failed");
        }
    }

    private static byte[] readPacket(DataInputStream in) throws IOException {
        int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        in.readUnsignedByte();
        return in.readNBytes(length);
    }

    /** The answer to the handshake: an account's name and an empty password. */
    static byte[] handshakeResponse(String user) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeInt(out, PROTOCOL_41 | SECURE_CONNECTION | PLUGIN_AUTH, Integer.BYTES);
        out.writeBytes(new byte[FILLER_BYTES]);
        out.writeBytes((user + "\0").getBytes(ISO_8859_1));
        out.write(0);
        out.writeBytes("mysql_native_password\0".getBytes(ISO_8859_1));
        return framed(out.toByteArray(), 1);
    }

    /** The packet of a command. */
    static byte[] packet(int command, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(command);
        out.writeBytes(body);
        return framed(out.toByteArray(), 0);
    }

    private static byte[] framed(byte[] payload, int sequence) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeInt(out, payload.length, LENGTH_BYTES);
        out.write(sequence);
        out.writeBytes(payload);
        return out.toByteArray();
    }

    private static void writeInt(ByteArrayOutputStream out, int value, int bytes) {
        for (int i = 0; i < bytes; i++) {
            out.write(value >> Byte.SIZE * i);
        }
    }
}
