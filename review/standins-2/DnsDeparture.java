import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Db nodes are listed by DNS-SD. The address record of one of them disappears; then all records of another one do, which
 * is a departure.
 */
final class DnsDeparture {
    private static final String SERVICE = "_ledger._tcp.plant.example";
    private static final int A = 1;
    private static final int PTR = 12;
    private static final int TXT = 16;
    private static final int SRV = 33;

    /** Records by name and type; the answers go out as they are at that moment. */
    private static final class Dns {
        final int port;
        private final Map<String, List<byte[]>> records = new LinkedHashMap<>();
        /** When the first answer about the service's instances left that no longer names this one; 0 for none. */
        private volatile long firstAnswerWithoutMillis;

        private volatile String departed;

        Dns() throws IOException {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(Kit.HOST));
            port = socket.getLocalPort();
            Kit.start(() -> {
                while (true) {
                    try {
                        DatagramPacket packet = new DatagramPacket(new byte[1500], 1500);
                        socket.receive(packet);
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
            records.get(SERVICE + " " + PTR).removeIf(data -> java.util.Arrays.equals(data, name));
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

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], DnsDeparture::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = List.of(
                new Kit.PgNode("n1", ledger, true, 0),
                new Kit.PgNode("n2", ledger, false, 20),
                new Kit.PgNode("n3", ledger, false, 20),
                new Kit.PgNode("n4", ledger, false, 20));
        Dns dns = new Dns();
        for (Kit.PgNode node : nodes) {
            String instance = node.id + "." + SERVICE;
            dns.add(SERVICE, PTR, name(instance));
            dns.add(instance, SRV, srv(node.port, node.id + ".plant.example"));
            dns.add(instance, TXT, txt("id=" + node.id, "cell=1", "rank=" + (node.primary ? "source" : "copy")));
            dns.add(node.id + ".plant.example", A, new byte[] {127, 0, 0, 1});
        }
        Path operator = Files.writeString(
                Kit.scratch().resolve("operator.json"),
                "{\"dns_sd\": {\"resolver\": \"127.0.0.1:" + dns.port + "\", \"service\": \"" + SERVICE
                        + ".\", \"poll_ms\": 1000}}");
        int port = Kit.freePort();
        Kit.pooler("n0", Kit.config("n0", port, Kit.freePort()), operator);
        if (!Kit.awaitReady(port, 20_000)) {
            throw new IllegalStateException("the pooler is not ready");
        }
        AtomicBoolean ended = new AtomicBoolean();
        Thread client = Kit.start(() -> read(port, ended));
        Kit.sleep(3000);
        Kit.note("statements so far: %s", counts(nodes, 0));
        // The db node that departs is one that the pooler uses; the address that disappears is another's.
        Kit.PgNode departing = nodes.stream()
                .max(Comparator.comparingInt(node -> node.arrivals.size()))
                .orElseThrow();
        Kit.PgNode addressless = nodes.stream()
                .filter(node -> !node.primary && node != departing)
                .findFirst()
                .orElseThrow();
        if (Kit.TROUBLE) {
            dns.remove(addressless.id + ".plant.example", A);
            Kit.note("the address record of %s's host has disappeared", addressless.id);
            Kit.sleep(3000);
        }
        dns.removeInstance(departing.id + "." + SERVICE);
        Kit.note("the records of %s have disappeared", departing.id);
        Kit.sleep(15_000);
        ended.set(true);
        client.join();
        Kit.recordLog("n0", "dns-sd", "endpoint list", "listens");
        if (dns.firstAnswerWithoutMillis == 0) {
            Kit.note("the pooler has not asked for 15 s");
            return false;
        }
        // The settings' 250 ms, and 50 ms more on sockets.
        long bound = dns.firstAnswerWithoutMillis + 300;
        long late = departing.arrivals.stream().filter(a -> a.atMillis() > bound).count();
        long lastMillis = departing.arrivals.stream().mapToLong(Kit.Arrival::atMillis).max().orElse(0);
        Kit.note("statements since the bound: %s", counts(nodes, bound));
        Kit.note("%s got %d statements later than 300 ms after the notice, the last %d ms after it", departing.id, late,
                lastMillis - dns.firstAnswerWithoutMillis);
        return late == 0;
    }

    private static String counts(List<Kit.PgNode> nodes, long from) {
        StringBuilder text = new StringBuilder();
        for (Kit.PgNode node : nodes) {
            text.append(node.id).append(' ')
                    .append(node.arrivals.stream().filter(a -> a.atMillis() > from).count()).append("  ");
        }
        return text.toString().strip();
    }

    private static void read(int port, AtomicBoolean ended) {
        try (Kit.PgClient client = new Kit.PgClient(port)) {
            for (int i = 0; !ended.get(); i++) {
                Kit.Answer answer = client.query("SELECT blob FROM rows WHERE handle = 'k" + i % 50 + "' /* id="
                        + Kit.newId() + ",c=bag-status,t=almaty-branch,d=2000,cluster=1 */");
                Kit.detail("client: k%d %s %s", i % 50, answer.kind(), answer.value());
                Kit.sleep(20);
            }
        } catch (IOException e) {
            Kit.note("client: %s", e);
        }
    }
}
