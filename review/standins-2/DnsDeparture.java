import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Db nodes are listed by DNS-SD. The address record of one of them disappears; then all records of another one do, which
 * is a departure.
 */
final class DnsDeparture {
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
            dns.add(node);
        }
        Path operator = Files.writeString(Kit.scratch().resolve("operator.json"), dns.operatorFile());
        int port = Kit.freePort();
        Kit.pooler("n0", Kit.config("n0", port, Kit.freePort()), operator);
        if (!Kit.awaitReady(port, 20_000)) {
            throw new IllegalStateException("the pooler is not ready");
        }
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(Kit.start(() -> read(port, ended)));
        }
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
            dns.remove(addressless.id + ".plant.example", Dns.A);
            Kit.note("the address record of %s's host has disappeared", addressless.id);
            Kit.sleep(3000);
        }
        dns.removeInstance(departing.id + "." + Dns.SERVICE);
        Kit.note("the records of %s have disappeared", departing.id);
        Kit.sleep(15_000);
        ended.set(true);
        for (Thread client : clients) {
            client.join();
        }
        Kit.recordLog("n0", "dns-sd", "endpoint list", "listens");
        if (dns.firstAnswerWithoutMillis == 0) {
            throw new IllegalStateException("the pooler has not asked for 15 s");
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
                client.query("SELECT blob FROM rows WHERE handle = 'k" + i % 50 + "' /* id="
                        + Kit.newId() + ",c=bag-status,t=almaty-branch,d=2000,cluster=1 */");
                Kit.sleep(25);
            }
        } catch (IOException e) {
            Kit.note("client: %s", e);
        }
    }
}
