package lupinvalve.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lupinvalve.replication.Client;
import lupinvalve.replication.Messages;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Real daemons on loopback behind proxies, killed, stopped, cut and started again at random from a seed while clients put
 * and read configurations throughout. It fails on any acknowledged put that is lost and on anything that does not fit one
 * history.
 */
public final class StoreDrill implements Lab.Command {
    private static final Pattern ADOPTED = Pattern.compile("store: adopted revision (\\d+), change \\d+, digest ([0-9a-f]+)");
    private static final Pattern LEADS = Pattern.compile("store: (\\S+)/\\S+ leads, term (\\d+)");
    private static final long CALL_MILLIS = 4_000;

    @Option(name = "--members", usage = "3 to 7")
    private int count = 5;

    @Option(name = "--seconds", usage = "how long faults go on")
    private int seconds = 30;

    @Option(name = "--seed", usage = "what faults come, and when")
    private long seed = 7;

    @Option(name = "--config", metaVar = "FILE", usage = "a platform's file to start from")
    private Path config = Path.of("example/config.json");

    @Option(name = "--lying-disks", usage = "a double: killed members lose the end of what their disks said was forced")
    private boolean lying;

    @Option(name = "--only-leader-kills", usage = "nothing but kills of the leader, one after another: the fail-over")
    private boolean leaderKills;

    @Option(name = "--keep", usage = "keep the folder with the logs")
    private boolean keep;

    @Option(name = "--json", usage = "only the last line")
    private boolean json;

    private final RevisionChecker checker = new RevisionChecker();
    private final Histogram commits = new ConcurrentHistogram(60_000_000, 3), failovers = new ConcurrentHistogram(
            60_000_000, 3), recoveries = new ConcurrentHistogram(60_000_000, 3);
    private final Set<Integer> terms = new ConcurrentSkipListSet<>();
    private final List<String> unclean = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private final Map<String, String> direct = new TreeMap<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private int kills, cuts, pauses;
    private volatile boolean over;
    private volatile long leaderKilledAt, faultAt;
    private volatile String leader;
    private Path folder;
    private Random random;
    private PrintStream log;

    /** One daemon through all its lives. */
    private final class Member implements Closeable {
        final String name;
        final int port, pg;
        final Map<String, FaultProxy> proxies = new TreeMap<>();
        final Path state, said;
        Process process;
        boolean paused;
        long startedAt;
        volatile long adopted;

        Member(String name, int port, int pg) {
            this.name = name;
            this.port = port;
            this.pg = pg;
            state = folder.resolve(name);
            said = folder.resolve(name + ".log");
        }

        void files() throws IOException {
            Files.writeString(folder.resolve(name + ".json"), Files.readString(config)
                    .replace("127.0.0.1:5432", "127.0.0.1:" + pg).replace("127.0.0.1:8500", "127.0.0.1:1"));
            StringBuilder places = new StringBuilder("\"" + name + "\":\"127.0.0.1:" + port + "\"");
            proxies.forEach((other, proxy) -> places.append(",\"" + other + "\":\"127.0.0.1:" + proxy.port() + "\""));
            Files.writeString(folder.resolve(name + ".operator.json"), "{\"store\":{\"cluster\":\"drill\",\"name\":\"" + name
                    + "\",\"folder\":\"" + state + "\",\"listen\":\"127.0.0.1:" + port + "\",\"members\":{" + places + "}}}");
        }

        void start() throws IOException {
            startedAt = System.nanoTime();
            process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m",
                    "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-cp",
                    System.getProperty("java.class.path"), "lupinvalve.cli.Main", "serve", "--config",
                    folder.resolve(name + ".json").toString(), "--operator",
                    folder.resolve(name + ".operator.json").toString()).redirectErrorStream(true).start();
            Process mine = process;
            Thread reader = new Thread(() -> read(mine), "log of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        private void read(Process from) {
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(from.getInputStream(),
                    StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    Files.writeString(said, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                    Matcher adoption = ADOPTED.matcher(line);
                    if (adoption.find()) {
                        adopted = Long.parseLong(adoption.group(1));
                        checker.adopted(name, adopted, adoption.group(2));
                    }
                    Matcher leads = LEADS.matcher(line);
                    if (leads.find()) {
                        terms.add(Integer.parseInt(leads.group(2)));
                        leader = leads.group(1);
                    }
                }
            } catch (IOException e) {
                // It was killed.
            }
        }

        boolean runs() {
            return process != null && process.isAlive();
        }

        void signal(String what) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + what, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws IOException, InterruptedException {
            faultAt = System.nanoTime();
            if (name.equals(leader)) {
                leaderKilledAt = System.nanoTime();
            }
            kills++;
            process.destroyForcibly().waitFor();
            paused = false;
            if (lying) {
                forget();
            }
        }

        /** What a disk that lied about its forces would have kept. */
        private void forget() throws IOException {
            try (Stream<Path> files = Files.list(state)) {
                Path last = files.filter(f -> f.getFileName().toString().startsWith("history")).sorted()
                        .reduce((a, b) -> b).orElse(null);
                if (last != null) {
                    try (FileChannel channel = FileChannel.open(last, StandardOpenOption.WRITE)) {
                        channel.truncate(channel.size() / 2);
                    }
                }
            }
        }

        void restart() throws IOException, InterruptedException {
            faultAt = System.nanoTime();
            process.destroy();
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                unclean.add(name + " did not end in 10 s");
                process.destroyForcibly().waitFor();
            } else if (process.exitValue() != 0) {
                unclean.add(name + " ended with " + process.exitValue());
            }
            start();
        }

        /** Started some time ago and ended by itself. */
        boolean died() {
            return process != null && !process.isAlive() && startedAt > 0;
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
            }
            for (FaultProxy proxy : proxies.values()) {
                proxy.close();
            }
        }
    }

    @Override
    public int run(PrintStream out) throws Exception {
        if (count < 3 || count > 7 || seconds < 1) {
            throw new IllegalArgumentException("--members from 3 to 7, --seconds from 1");
        }
        random = new Random(seed);
        log = json ? new PrintStream(java.io.OutputStream.nullOutputStream()) : out;
        folder = Files.createTempDirectory("store-drill");
        try {
            prepare();
            for (Member member : members) {
                member.start();
            }
            await("founded", 30, () -> read(new Client("drill", direct, null)) >= 0);
            for (int i = 0; i < 3; i++) {
                client(i);
            }
            faults();
            return judge(out);
        } finally {
            over = true;
            for (Member member : members) {
                member.close();
            }
            if (keep) {
                out.println("kept: " + folder);
            } else {
                Scratch.delete(folder);
            }
        }
    }

    private void prepare() throws IOException {
        // Held until the proxies have theirs.
        try (Scratch.Ports ports = new Scratch.Ports(2 * count)) {
            for (int i = 0; i < count; i++) {
                members.add(new Member("m" + i, ports.get(2 * i), ports.get(2 * i + 1)));
                direct.put("m" + i, "127.0.0.1:" + ports.get(2 * i));
            }
            for (Member from : members) {
                for (Member to : members) {
                    if (from != to) {
                        from.proxies.put(to.name, new FaultProxy(to.port));
                    }
                }
                from.files();
            }
        }
    }

    private interface Holds {
        boolean now() throws IOException;
    }

    private void await(String what, int withinSeconds, Holds holds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(withinSeconds);
        while (!holds.now()) {
            if (System.nanoTime() > end) {
                throw new IOException("not in " + withinSeconds + " s: " + what);
            }
            Thread.sleep(50);
        }
    }

    // ---- clients ----

    private void client(int number) {
        Thread thread = new Thread(() -> {
            Random own = new Random(seed * 31 + number);
            try {
                // Each one has another member that it asks first.
                Map<String, String> places = new java.util.LinkedHashMap<>();
                for (int i = 0; i < count; i++) {
                    String name = "m" + (i + number) % count;
                    places.put(name, direct.get(name));
                }
                Client client = new Client("drill", places, null);
                while (!over) {
                    long revision = read(client);
                    if (revision >= 0 && own.nextInt(3) > 0) {
                        put(client, revision);
                    }
                }
            } catch (IOException e) {
                unclean.add("a client: " + e.getMessage());
            }
        }, "client " + number);
        thread.setDaemon(true);
        thread.start();
        clients.add(thread);
    }

    /** The revision that a linearizable read came back with, or -1. */
    private long read(Client client) throws IOException {
        long began = System.nanoTime();
        Client.Said said = client.ask("get", List.of(new byte[0]), true, CALL_MILLIS);
        if (said.code() != Messages.Code.OK) {
            return -1;
        }
        Map<String, String> fields = fields(said.text());
        long revision = Long.parseLong(fields.get("revision"));
        checker.read(began, System.nanoTime(), revision, fields.getOrDefault("digest", ""));
        return revision;
    }

    private void put(Client client, long expected) throws IOException {
        byte[] document = ("{\"mysql\":{\"user\":\"u" + numbers.incrementAndGet() + "\"}}").getBytes(StandardCharsets.UTF_8);
        long began = System.nanoTime();
        Client.Said said = client.ask("put", List.of(Long.toString(expected).getBytes(StandardCharsets.UTF_8), document),
                false, CALL_MILLIS);
        long ended = System.nanoTime();
        if (said.code() == Messages.Code.OK) {
            long revision = Long.parseLong(fields(said.text()).get("revision"));
            checker.put(began, ended, revision, lupinvalve.ledger.Ledger.digest(document));
            if (faultAt < began - TimeUnit.SECONDS.toNanos(3)) {
                commits.recordValue((ended - began) / 1000);
            }
            long killed = leaderKilledAt;
            if (killed != 0 && began > killed) {
                leaderKilledAt = 0;
                failovers.recordValue((ended - killed) / 1000);
            }
        }
    }

    private static Map<String, String> fields(String text) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        try (JsonParser in = new JsonFactory().createParser(text)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken().isScalarValue()) {
                    fields.put(name, in.getText());
                } else {
                    in.skipChildren();
                }
            }
        }
        return fields;
    }

    // ---- faults ----

    private void faults() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            if (leaderKills) {
                oneLeader();
                continue;
            }
            Thread.sleep(200 + random.nextInt(1200));
            List<Member> up = members.stream().filter(m -> m.runs() && !m.paused).toList();
            boolean spare = up.size() > count / 2 + 1;
            Member one = up.get(random.nextInt(up.size()));
            Member other = members.get(random.nextInt(count));
            switch (random.nextInt(10)) {
                case 0, 1 -> {
                    if (spare) {
                        log.println("kill " + one.name);
                        one.kill();
                    }
                }
                case 2 -> {
                    if (spare) {
                        log.println("stop " + one.name + " for a while");
                        faultAt = System.nanoTime();
                        one.signal("STOP");
                        one.paused = true;
                        pauses++;
                    }
                }
                case 3 -> {
                    if (spare) {
                        log.println("end and start " + one.name);
                        one.restart();
                    }
                }
                case 4 -> cut(one, other, true, true);
                case 5 -> cut(one, other, true, false);
                case 6 -> {
                    for (Member each : members) {
                        cut(one, each, true, true);
                    }
                }
                case 7 -> {
                    log.println("power fails");
                    for (Member each : members) {
                        if (each.runs()) {
                            each.kill();
                        }
                    }
                    back();
                }
                default -> back();
            }
        }
        back();
    }

    private void cut(Member one, Member other, boolean there, boolean back) {
        if (one == other) {
            return;
        }
        cuts++;
        faultAt = System.nanoTime();
        log.println("cut " + one.name + (back ? " and " : " to ") + other.name);
        FaultProxy mine = one.proxies.get(other.name);
        FaultProxy theirs = other.proxies.get(one.name);
        mine.cutThere = there;
        theirs.cutBack = there;
        mine.cutBack = back;
        theirs.cutThere = back;
    }

    private void oneLeader() throws IOException, InterruptedException {
        long revision = numbers.get();
        await("commits go on", 20, () -> leaderKilledAt == 0 && numbers.get() > revision + 5 && leader != null);
        Member one = members.stream().filter(m -> m.name.equals(leader)).findFirst().orElseThrow();
        if (one.runs()) {
            one.kill();
            await("a new leader serves", 20, () -> leaderKilledAt == 0);
            one.start();
            await("caught up", 20, () -> one.adopted >= checker.acknowledged() * 9L / 10);
        }
        Thread.sleep(300 + random.nextInt(300));
    }

    /** All that was done is undone. */
    private void back() throws IOException, InterruptedException {
        log.println("all back");
        for (Member member : members) {
            for (FaultProxy proxy : member.proxies.values()) {
                proxy.heal();
            }
            if (member.paused) {
                member.signal("CONT");
                member.paused = false;
            }
            if (member.died()) {
                member.adopted = 0;
                member.start();
            }
        }
        long start = System.nanoTime();
        long wanted = checker.acknowledged();
        TreeSet<String> behind = new TreeSet<>();
        long end = start + TimeUnit.SECONDS.toNanos(12);
        members.forEach(m -> behind.add(m.name));
        while (!behind.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(20);
            for (Member member : members) {
                if (behind.contains(member.name) && member.adopted >= wanted) {
                    behind.remove(member.name);
                    if (member.startedAt >= start - TimeUnit.MILLISECONDS.toNanos(100)) {
                        recoveries.recordValue((System.nanoTime() - member.startedAt) / 1000);
                    }
                }
            }
        }
        if (!behind.isEmpty()) {
            log.println("behind after 12 s: " + behind);
        }
    }

    // ---- the verdict ----

    private int judge(PrintStream out) throws IOException, InterruptedException {
        over = true;
        for (Thread client : clients) {
            client.join(3 * CALL_MILLIS);
        }
        long last = -1;
        Client client = new Client("drill", direct, null);
        for (int i = 0; i < 5 && last < 0; i++) {
            last = read(client);
        }
        long end = last;
        try {
            await("all act on the last revision", 20, () -> members.stream().allMatch(m -> m.adopted >= end));
        } catch (IOException e) {
            unclean.add(e.getMessage());
        }
        for (Member member : members) {
            if (!member.runs()) {
                unclean.add(member.name + " does not run");
                continue;
            }
            member.process.destroy();
            if (!member.process.waitFor(10, TimeUnit.SECONDS) || member.process.exitValue() != 0) {
                unclean.add(member.name + " did not end well");
            }
        }
        List<String> divergent = checker.divergent();
        int lost = checker.lost(last);
        divergent.forEach(log::println);
        unclean.forEach(log::println);
        out.printf("{\"members\":%d,\"seconds\":%d,\"seed\":%d,\"kills\":%d,\"cuts\":%d,\"pauses\":%d,\"acknowledged\":%d,"
                + "\"lost\":%d,\"divergent\":%d,\"unclean\":%d,\"elections\":%d,\"failovers\":%d,\"failover_p99_ms\":%.1f,"
                + "\"commit_p50_ms\":%.2f,\"commit_p99_ms\":%.1f,\"recovery_p99_ms\":%.1f}%n", count, seconds, seed, kills,
                cuts, pauses, checker.acknowledged(), lost, divergent.size(), unclean.size(), terms.size(),
                failovers.getTotalCount(), ms(failovers, 99), ms(commits, 50), ms(commits, 99), ms(recoveries, 99));
        return lost > 0 || !divergent.isEmpty() || !unclean.isEmpty() ? 1 : 0;
    }

    private static double ms(Histogram of, double percentile) {
        return of.getValueAtPercentile(percentile) / 1000.0;
    }
}
