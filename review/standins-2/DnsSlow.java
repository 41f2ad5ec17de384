import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/** A pooler starts with its last list, which is old, while the resolver takes 250 ms for each answer. */
final class DnsSlow {
    private static final int NODES = 9;
    private static final long ANSWER_MILLIS = 250;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], DnsSlow::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = new ArrayList<>();
        StringBuilder known = new StringBuilder();
        Dns dns = new Dns();
        for (int i = 1; i <= NODES; i++) {
            Kit.PgNode node = new Kit.PgNode("n" + i, ledger, i == 1, i == 1 ? 0 : 10);
            nodes.add(node);
            known.append(i == 1 ? "" : ",").append(node.entry("in_service"));
            // n2 has departed since the pooler had its last list.
            if (i != 2) {
                dns.add(node);
            }
        }
        Kit.PgNode departed = nodes.get(1);
        dns.answerMillis = Kit.TROUBLE ? ANSWER_MILLIS : 0;
        int port = Kit.freePort();
        long started = System.currentTimeMillis();
        Kit.pooler(
                "n0",
                Kit.config("n0", port, Kit.freePort(), "\"members\": []", "\"members\": [" + known + "]"),
                Files.writeString(Kit.scratch().resolve("operator.json"), dns.operatorFile()));
        if (!Kit.awaitReady(port, 20_000)) {
            throw new IllegalStateException("the pooler is not ready");
        }
        Kit.note("the pooler says yes, %d ms after its start", System.currentTimeMillis() - started);
        // The pages' 6 s, the settings' 250 ms and 50 ms more on sockets, counted from when the pooler says yes.
        long bound = System.currentTimeMillis() + 6_300;
        long end = System.currentTimeMillis() + 40_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(Kit.start(() -> read(port, end)));
        }
        for (Thread client : clients) {
            client.join();
        }
        long late = departed.arrivals.stream().filter(a -> a.atMillis() > bound).count();
        long last = departed.arrivals.stream().mapToLong(Kit.Arrival::atMillis).max().orElse(started) - started;
        for (Kit.PgNode node : nodes) {
            Kit.note("%s got %d statements, %d of them later than the bound", node.id, node.arrivals.size(),
                    node.arrivals.stream().filter(a -> a.atMillis() > bound).count());
        }
        Kit.note("the departed n2 got %d statements later than the bound, the last %d ms after the start", late, last);
        Kit.recordLog("n0", "dns-sd", "endpoint list", "listens", "discovery");
        return late == 0;
    }

    private static void read(int port, long end) {
        try (Kit.PgClient client = new Kit.PgClient(port)) {
            for (int i = 0; System.currentTimeMillis() < end; i++) {
                client.query("SELECT blob FROM rows WHERE handle = 'k" + i % 50 + "' /* id=" + Kit.newId()
                        + ",c=bag-status,t=almaty-branch,d=2000,cluster=1 */");
                Kit.sleep(25);
            }
        } catch (IOException e) {
            Kit.note("client: %s", e);
        }
    }
}
