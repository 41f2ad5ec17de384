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

/** The processes of the program as it ships: three control members, and some whole poolers beside the hollow ones. */
final class Daemons implements Closeable {
    static final String CLUSTER = "scale";
    private static final int MEMBER_HEAP = 768;
    private static final int DAEMON_HEAP = 128;
    private static final Pattern ADOPTED = Pattern.compile("adopted revision (\\d+),.* digest ([0-9a-f]+)");
    private static final Pattern LEADS = Pattern.compile("store: (\\S+)/\\S+ leads, term (\\d+)");
    private static final Pattern FENCED = Pattern.compile("audit: fenced|: fenced");
    private static final Pattern RETURNED = Pattern.compile("audit: returned|: returned");
    private final Path folder;
    private final Path config;
    private final History history;
    private final List<DaemonProcess> members = new ArrayList<>();
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final Map<String, PoolerCourse> courses = new TreeMap<>();
    private final List<Integer> memberPorts = new ArrayList<>();
    private volatile String leader = "";
    private volatile long leaderSince;
    private int term;

    /** @param config a platform's file to start from */
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

    /** Addresses of the control members, past all proxies. */
    Map<String, String> places() {
        Map<String, String> places = new TreeMap<>();
        for (int i = 0; i < Topology.MEMBERS; i++) {
            places.put(Topology.member(i), "127.0.0.1:" + memberPorts.get(i));
        }
        return places;
    }

    void startMembers(Links links) throws IOException {
        for (int i = 0; i < Topology.MEMBERS; i++) {
            Map<String, String> places = links.forMember(i);
            places.put(Topology.member(i), "127.0.0.1:" + memberPorts.get(i));
            DaemonProcess member =
                    process(Topology.member(i), "127.0.0.1:" + memberPorts.get(i), places, null, MEMBER_HEAP);
            members.add(member);
            member.start();
        }
    }

    /** Starts whole poolers. */
    void startPoolers(int count, Design design, Links links) throws IOException {
        try (Scratch.Ports ports = new Scratch.Ports(count)) {
            for (int i = 0; i < count; i++) {
                String listen = design == Design.MEMBERS ? "127.0.0.1:" + ports.get(i) : null;
                daemons.add(
                        process(Topology.daemon(i), listen, links.forPooler(Topology.ZONES + i), design, DAEMON_HEAP));
            }
        }
        for (DaemonProcess daemon : daemons) {
            course(daemon.name).started(System.nanoTime());
            daemon.start();
        }
    }

    private DaemonProcess process(String name, String listen, Map<String, String> places, Design design, int heap)
            throws IOException {
        DaemonProcess process = new DaemonProcess(name, folder, line -> heard(name, line));
        process.heap(heap);
        int front;
        try (Scratch.Ports ports = new Scratch.Ports(1)) {
            front = ports.get(0);
        }
        String platform = Files.readString(config)
                .replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                .replace("127.0.0.1:5432", "127.0.0.1:" + front)
                .replaceFirst("\"discovery\": \"[^\"]*\",", "");
        String members = places.entrySet().stream()
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

    private synchronized PoolerCourse course(String name) {
        return courses.computeIfAbsent(name, n -> new PoolerCourse());
    }

    private void heard(String name, String line) {
        long at = System.nanoTime();
        Matcher adopted = ADOPTED.matcher(line);
        Matcher leads = LEADS.matcher(line);
        if (adopted.find()) {
            long revision = Long.parseLong(adopted.group(1));
            course(name).adopted(at, revision);
            history.adopted(name, revision, adopted.group(2));
        } else if (leads.find()) {
            leads(leads.group(1), Integer.parseInt(leads.group(2)), at);
        } else if (RETURNED.matcher(line).find()) {
            course(name).mayAct(at, true);
        } else if (FENCED.matcher(line).find()) {
            course(name).mayAct(at, false);
        }
    }

    private synchronized void leads(String name, int inTerm, long at) {
        if (inTerm > term) {
            term = inTerm;
            leader = name;
            leaderSince = at;
        }
    }

    /** The number of the member that leads, as far as logs say, or -1. */
    int leader() {
        String name = leader;
        return name.startsWith("c") ? Integer.parseInt(name.substring(1)) : -1;
    }

    /** When the leader that holds was first heard of. */
    long leaderSince() {
        return leaderSince;
    }

    DaemonProcess member(int number) {
        return members.get(number);
    }

    List<DaemonProcess> poolers() {
        return List.copyOf(daemons);
    }

    /** What whole poolers acted on. */
    synchronized Map<String, PoolerCourse> poolerCourses() {
        Map<String, PoolerCourse> mine = new TreeMap<>(courses);
        mine.keySet().removeIf(name -> !name.startsWith("d"));
        return mine;
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
