package lupinvalve.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import lupinvalve.drills.DaemonProcess;
import lupinvalve.drills.Scratch;

/** The complete daemons as processes: three control members, and some poolers that run beside the hollow ones. */
final class Daemons implements Closeable {
    static final String CLUSTER = "scale";
    private static final int MEMBER_HEAP_MEGABYTES = 768;
    private static final int DAEMON_HEAP_MEGABYTES = 128;
    private static final Pattern ADOPTED = Pattern.compile("adopted revision (\\d+),.* digest ([0-9a-f]+)");
    private static final Pattern LEADS = Pattern.compile("store: (\\S+)/\\S+ leads, term (\\d+)");
    private static final Pattern FENCED = Pattern.compile("audit: fenced|: fenced");
    private static final Pattern RETURNED = Pattern.compile("audit: returned|: returned");
    private final Path folder;
    private final Path config;
    private final History history;
    private final List<DaemonProcess> members = new ArrayList<>();
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final Map<String, PoolerTimeline> timelines = new TreeMap<>();
    private final List<Integer> memberPorts = new ArrayList<>();
    private volatile String leader = "";
    private volatile long leaderSinceNanos;
    private int term;

    /** @param config a deployment's configuration file, the template of each daemon's file */
    Daemons(Path folder, Path config, History history) throws IOException {
        this.folder = folder;
        this.config = config;
        this.history = history;
        try (Scratch.Ports ports = new Scratch.Ports(Topology.MEMBERS)) {
            for (int i = 0; i < Topology.MEMBERS; i++) {
                memberPorts.add(ports.get(i));
            }
        }
    }

    List<Integer> memberPorts() {
        return memberPorts;
    }

    /** Returns the addresses of the control members themselves, not of the proxies before them, by name. */
    Map<String, String> memberAddresses() {
        Map<String, String> addresses = new TreeMap<>();
        for (int i = 0; i < Topology.MEMBERS; i++) {
            addresses.put(Topology.member(i), "127.0.0.1:" + memberPorts.get(i));
        }
        return addresses;
    }

    void startMembers(Links links) throws IOException {
        for (int i = 0; i < Topology.MEMBERS; i++) {
            Map<String, String> addresses = links.forMember(i);
            addresses.put(Topology.member(i), "127.0.0.1:" + memberPorts.get(i));
            DaemonProcess member = process(
                    Topology.member(i), "127.0.0.1:" + memberPorts.get(i), addresses, null, MEMBER_HEAP_MEGABYTES);
            members.add(member);
            member.start();
        }
    }

    /** Starts complete poolers. */
    void startPoolers(int count, Design design, Links links) throws IOException {
        try (Scratch.Ports ports = new Scratch.Ports(count)) {
            for (int i = 0; i < count; i++) {
                String listen = design == Design.MEMBERS ? "127.0.0.1:" + ports.get(i) : null;
                daemons.add(process(
                        Topology.daemon(i),
                        listen,
                        links.forPooler(Topology.ZONES + i),
                        design,
                        DAEMON_HEAP_MEGABYTES));
            }
        }
        for (DaemonProcess daemon : daemons) {
            timeline(daemon.name).started(System.nanoTime());
            daemon.start();
        }
    }

    private DaemonProcess process(
            String name, String listen, Map<String, String> addresses, Design design, int heapMegabytes)
            throws IOException {
        DaemonProcess process = new DaemonProcess(name, folder, line -> onLogLine(name, line));
        process.heap(heapMegabytes);
        int frontPort;
        try (Scratch.Ports ports = new Scratch.Ports(1)) {
            frontPort = ports.get(0);
        }
        String platform = Files.readString(config)
                .replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                .replace("127.0.0.1:5432", "127.0.0.1:" + frontPort)
                .replaceFirst("\"discovery\": \"[^\"]*\",", "");
        String members = addresses.entrySet().stream()
                .map(one -> "\"" + one.getKey() + "\":\"" + one.getValue() + "\"")
                .collect(Collectors.joining(","));
        process.files(
                platform,
                "{\"store\":{\"cluster\":\"" + CLUSTER + "\",\"name\":\"" + name + "\",\"folder\":\""
                        + folder.resolve(name) + "\",\"audit\":\"fence\","
                        + (design == Design.SUBSCRIPTIONS
                                ? "\"role\":\"subscriber\","
                                : "\"listen\":\"" + listen + "\",")
                        + "\"members\":{" + members + "}}}");
        return process;
    }

    private synchronized PoolerTimeline timeline(String name) {
        return timelines.computeIfAbsent(name, n -> new PoolerTimeline());
    }

    private void onLogLine(String name, String line) {
        long atNanos = System.nanoTime();
        Matcher adopted = ADOPTED.matcher(line);
        Matcher leads = LEADS.matcher(line);
        if (adopted.find()) {
            long revision = Long.parseLong(adopted.group(1));
            timeline(name).adopted(atNanos, revision);
            history.adopted(name, revision, adopted.group(2));
        } else if (leads.find()) {
            electedLeader(leads.group(1), Integer.parseInt(leads.group(2)), atNanos);
        } else if (RETURNED.matcher(line).find()) {
            timeline(name).mayAct(atNanos, true);
        } else if (FENCED.matcher(line).find()) {
            timeline(name).mayAct(atNanos, false);
        }
    }

    private synchronized void electedLeader(String name, int newTerm, long atNanos) {
        if (newTerm > term) {
            term = newTerm;
            leader = name;
            leaderSinceNanos = atNanos;
        }
    }

    /** Returns the number of the leader with the highest term that the logs have reported, or -1 before the first. */
    int leader() {
        String name = leader;
        return name.startsWith("c") ? Integer.parseInt(name.substring(1)) : -1;
    }

    /** Returns the {@link System#nanoTime()} at which the log line of the current leader's election was read. */
    long leaderSinceNanos() {
        return leaderSinceNanos;
    }

    DaemonProcess member(int number) {
        return members.get(number);
    }

    List<DaemonProcess> poolers() {
        return List.copyOf(daemons);
    }

    /** Returns by pooler name which revisions the complete poolers acted on, and when. */
    synchronized Map<String, PoolerTimeline> poolerTimelines() {
        Map<String, PoolerTimeline> poolersOnly = new TreeMap<>(timelines);
        poolersOnly.keySet().removeIf(name -> !name.startsWith("d"));
        return poolersOnly;
    }

    Path memberFolder(int number) {
        return folder.resolve(Topology.member(number));
    }

    @Override
    public void close() {
        members.forEach(DaemonProcess::close);
        daemons.forEach(DaemonProcess::close);
    }
}
