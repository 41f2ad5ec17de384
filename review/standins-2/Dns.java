import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A resolver over UDP with the DNS-SD records of a service (RFC 1035, RFC 6763). Answers go out as the records are then. */
final class Dns {
    static final String SERVICE = "_ledger._tcp.plant.example";
    static final int A = 1;
    static final int PTR = 12;
    static final int TXT = 16;
    static final int SRV = 33;

    final int port;
    private final Map<String, List<byte[]>> records = new LinkedHashMap<>();
    /** How long each answer takes; one question is answered after another. */
    volatile long answerMillis;
    /** When the first answer about the service's instances left that no longer names the departed one; 0 for none. */
    volatile long firstAnswerWithoutMillis;

    private volatile String departed;

    Dns() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(Kit.HOST));
        port = socket.getLocalPort();
        Kit.start(() -> {
            while (true) {
                try {
                    DatagramPacket packet = new DatagramPacket(new byte[1500], 1500);
                    socket.receive(packet);
                    Kit.sleep(answerMillis);
                    byte[] answer = answer(packet.getData(), packet.getLength());
                    socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    synchronized void add(String name, int type, byte[] data) {
        records.computeIfAbsent(name + " " + type, absent -> new ArrayList<>()).add(data);
    }

    synchronized void remove(String name, int type) {
        records.remove(name + " " + type);
    }

    synchronized void removeInstance(String instance) throws IOException {
        byte[] name = name(instance);
        records.get(SERVICE + " " + PTR).removeIf(data -> Arrays.equals(data, name));
        remove(instance, SRV);
        remove(instance, TXT);
        departed = instance;
    }

    private synchronized boolean exists(String name) {
        return records.keySet().stream().anyMatch(key -> key.startsWith(name + " "));
    }

    private synchronized byte[] answer(byte[] query, int length) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(query, 0, length);
        short id = in.getShort();
        in.position(12);
        StringBuilder name = new StringBuilder();
        for (int size = in.get() & 255; size > 0; size = in.get() & 255) {
            byte[] label = new byte[size];
            in.get(label);
            name.append(name.length() == 0 ? "" : ".").append(new String(label, StandardCharsets.UTF_8));
        }
        int type = in.getShort();
        in.getShort();
        int questionEnd = in.position();
        List<byte[]> found = records.getOrDefault(name + " " + type, List.of());
        if (type == PTR && departed != null && firstAnswerWithoutMillis == 0) {
            firstAnswerWithoutMillis = System.currentTimeMillis();
            Kit.note("resolver: first answer that no longer names %s", departed);
        }
        Kit.detail("resolver: %s type %d: %d records", name, type, found.size());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeShort(id);
        // An authoritative answer; a name without any record does not exist (RFC 1035).
        out.writeShort(0x8580 | (found.isEmpty() && !exists(name.toString()) ? 3 : 0));
        out.writeShort(1);
        out.writeShort(found.size());
        out.writeInt(0);
        out.write(query, 12, questionEnd - 12);
        for (byte[] data : found) {
            out.write(name(name.toString()));
            out.writeShort(type);
            out.writeShort(1);
            out.writeInt(1);
            out.writeShort(data.length);
            out.write(data);
        }
        return bytes.toByteArray();
    }

    /** Adds all records of a db node. */
    void add(Kit.PgNode node) throws IOException {
        String instance = node.id + "." + SERVICE;
        add(SERVICE, PTR, name(instance));
        add(instance, SRV, srv(node.port, node.id + ".plant.example"));
        add(instance, TXT, txt("id=" + node.id, "cell=1", "rank=" + (node.primary ? "source" : "copy")));
        add(node.id + ".plant.example", A, new byte[] {127, 0, 0, 1});
    }

    /** The operator's file that names this resolver. */
    String operatorFile() {
        return "{\"dns_sd\": {\"resolver\": \"127.0.0.1:" + port + "\", \"service\": \"" + SERVICE
                + ".\", \"poll_ms\": 1000}}";
    }

    private static byte[] name(String dotted) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String label : dotted.split("\\.")) {
            byte[] bytes = label.getBytes(StandardCharsets.UTF_8);
            out.write(bytes.length);
            out.writeBytes(bytes);
        }
        out.write(0);
        return out.toByteArray();
    }

    private static byte[] srv(int port, String host) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeShort(0);
        out.writeShort(0);
        out.writeShort(port);
        out.write(name(host));
        return bytes.toByteArray();
    }

    private static byte[] txt(String... pairs) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String pair : pairs) {
            out.write(pair.length());
            out.writeBytes(pair.getBytes(StandardCharsets.UTF_8));
        }
        return out.toByteArray();
    }
}
