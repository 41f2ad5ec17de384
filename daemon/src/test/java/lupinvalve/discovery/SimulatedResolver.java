package lupinvalve.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.routing.ListForm;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** A service browser before a resolver in virtual time, which is slow, loses answers or is away. */
final class SimulatedResolver implements ServiceBrowser.Calls {
    static final long MILLIS = 1000;
    static final String SERVICE = "_ledger._tcp.plant.example.";

    private record Event(long atMicros, long order, Runnable task) {}

    /** A report of the list. */
    record Report(long atMicros, ListForm form, Map<String, DiscoveredEndpoint> endpoints) {}

    final ServiceBrowser browser;
    final List<Report> reports = new ArrayList<>();
    final List<DnsQuestion> asked = new ArrayList<>();
    final Map<DnsQuestion, Long> answeredAtMicros = new HashMap<>();
    /** Answers in place of those of the zone. */
    final Map<DnsQuestion, DnsAnswer> wrongAnswers = new HashMap<>();
    /** Names about which no question is answered. */
    final Set<Name> silentNames = new HashSet<>();

    /** Names whose answers take longer, without keeping other questions waiting. */
    final Set<Name> slowNames = new HashSet<>();

    long slowAnswerMicros;

    private final Map<DnsQuestion, List<Record>> zone = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((first, second) -> first.atMicros != second.atMicros
            ? Long.compare(first.atMicros, second.atMicros)
            : Long.compare(first.order, second.order));
    private final Random random;
    private long order;
    long nowMicros = 1_000_000_000L;
    /** Time of an answer; the resolver takes one question after another where {@link #isSerial}. */
    long answerMicros = MILLIS;

    boolean isSerial;
    double lostShare;
    /** What becomes of questions while the resolver is away. */
    enum Away {
        LOST,
        REFUSED,
        /** They wait and are answered when it is back. */
        KEPT
    }

    Away away = Away.LOST;
    private boolean isAway;
    private final List<Runnable> kept = new ArrayList<>();
    private long freeAtMicros;
    private long wakeMicros = Long.MAX_VALUE;
    private long wakeNumber;

    SimulatedResolver(long seed) {
        random = new Random(seed);
        browser = new ServiceBrowser(this, new InstanceReader(3306, List.of()), name(SERVICE), 1000 * MILLIS);
    }

    static Name name(String text) {
        try {
            return Name.fromString(text, Name.root);
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static DnsQuestion question(String name, int type) {
        return new DnsQuestion(name(name), type);
    }

    static String instance(String label) {
        return label + "." + SERVICE;
    }

    static String host(String label) {
        return label + ".plant.example.";
    }

    // ---- zone ----

    void publish(String label, String... attributes) {
        try {
            Name instance = name(instance(label));
            zone.put(
                    new DnsQuestion(instance, Type.SRV),
                    List.of(new SRVRecord(instance, DClass.IN, 1, 0, 0, 5432, name(host(label)))));
            zone.put(
                    new DnsQuestion(instance, Type.TXT),
                    List.of(new TXTRecord(instance, DClass.IN, 1, List.of(attributes))));
            zone.put(
                    question(host(label), Type.A),
                    List.of(new ARecord(name(host(label)), DClass.IN, 1, java.net.InetAddress.getByName("127.0.0.9"))));
            List<Record> pointers = new ArrayList<>(zone.getOrDefault(question(SERVICE, Type.PTR), List.of()));
            pointers.removeIf(record -> ((PTRRecord) record).getTarget().equals(instance));
            pointers.add(new PTRRecord(name(SERVICE), DClass.IN, 1, instance));
            zone.put(question(SERVICE, Type.PTR), pointers);
        } catch (java.net.UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    void publishAll(int from, int to) {
        for (int i = from; i <= to; i++) {
            publish("n" + i, "id=n" + i, "cell=1");
        }
    }

    /** Removes all records of an instance. */
    void remove(String label) {
        remove(instance(label), Type.SRV);
        remove(instance(label), Type.TXT);
        List<Record> pointers = new ArrayList<>(zone.get(question(SERVICE, Type.PTR)));
        pointers.removeIf(record -> ((PTRRecord) record).getTarget().equals(name(instance(label))));
        zone.put(question(SERVICE, Type.PTR), pointers);
        answeredAtMicros.clear();
    }

    void remove(String name, int type) {
        zone.remove(question(name, type));
    }

    private DnsAnswer answer(DnsQuestion question) {
        if (wrongAnswers.containsKey(question)) {
            return wrongAnswers.get(question);
        }
        List<Record> records = zone.getOrDefault(question, List.of());
        if (!records.isEmpty()) {
            return DnsAnswer.ofRecords(records);
        }
        boolean hasName = zone.keySet().stream().anyMatch(other -> other.name().equals(question.name()));
        return new DnsAnswer(hasName ? DnsAnswer.Kind.NO_DATA : DnsAnswer.Kind.NO_NAME, List.of(), List.of(), "");
    }

    // ---- calls of the browser ----

    @Override
    public void send(QuestionSchedule.Sent sent) {
        asked.add(sent.question());
        boolean[] isOver = new boolean[1];
        at(nowMicros + sent.awaitMicros(), () -> deliver(sent, DnsAnswer.noResponse("timeout"), isOver));
        if (silentNames.contains(sent.question().name())) {
            return;
        }
        if (isAway) {
            if (away == Away.KEPT) {
                kept.add(() -> process(sent, isOver));
            } else if (away == Away.REFUSED) {
                at(nowMicros, () -> deliver(sent, DnsAnswer.noResponse("refused"), isOver));
            }
            return;
        }
        process(sent, isOver);
    }

    private void process(QuestionSchedule.Sent sent, boolean[] isOver) {
        boolean isSlow = slowNames.contains(sent.question().name());
        long atMicros = isSlow
                ? nowMicros + slowAnswerMicros
                : isSerial ? Math.max(nowMicros, freeAtMicros) + answerMicros : nowMicros + answerMicros;
        freeAtMicros = isSerial && !isSlow ? atMicros : freeAtMicros;
        boolean isLost = random.nextDouble() < lostShare;
        at(atMicros, () -> {
            if (!isLost && !isAway && !isOver[0]) {
                answeredAtMicros.putIfAbsent(sent.question(), nowMicros);
                deliver(sent, answer(sent.question()), isOver);
            }
        });
    }

    private void deliver(QuestionSchedule.Sent sent, DnsAnswer answer, boolean[] isOver) {
        if (!isOver[0]) {
            isOver[0] = true;
            browser.ended(sent, answer, nowMicros);
            runBrowser();
        }
    }

    @Override
    public void report(EndpointListEvent event) {
        Map<String, DiscoveredEndpoint> endpoints = new TreeMap<>();
        event.endpoints()
                .forEach(discovered -> endpoints.put(discovered.endpoint().node(), discovered));
        reports.add(new Report(nowMicros, event.form(), endpoints));
    }

    @Override
    public void warn(String kind, String text) {
        // The tests look at the reports.
    }

    // ---- time ----

    private void at(long atMicros, Runnable task) {
        events.add(new Event(atMicros, order++, task));
    }

    private void runBrowser() {
        wakeMicros = browser.run(nowMicros);
        long number = ++wakeNumber;
        if (wakeMicros != Long.MAX_VALUE) {
            at(Math.max(nowMicros + MILLIS, wakeMicros), () -> {
                if (number == wakeNumber) {
                    runBrowser();
                }
            });
        }
    }

    void subscribe(List<DiscoveredEndpoint> listed) {
        browser.subscribe(true, listed, nowMicros);
        runBrowser();
    }

    void runFor(long millis) {
        long endMicros = nowMicros + millis * MILLIS;
        while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            event.task.run();
        }
        nowMicros = endMicros;
    }

    void away(boolean away) {
        isAway = away;
        if (!away) {
            List<Runnable> waiting = List.copyOf(kept);
            kept.clear();
            waiting.forEach(Runnable::run);
        }
    }

    // ---- what was reported ----

    /** The list that is in force. */
    Set<String> listed() {
        for (int i = reports.size() - 1; i >= 0; i--) {
            if (reports.get(i).form() != ListForm.UNAVAILABLE) {
                return reports.get(i).endpoints().keySet();
            }
        }
        return Set.of();
    }

    /** Milliseconds from a time to the first report since that has, or has not, a db node; -1 if there is none. */
    long millisUntil(long sinceMicros, String node, boolean isListed) {
        return reports.stream()
                .filter(report -> report.atMicros() >= sinceMicros && report.form() != ListForm.UNAVAILABLE)
                .filter(report -> report.endpoints().containsKey(node) == isListed)
                .mapToLong(report -> (report.atMicros() - sinceMicros) / MILLIS)
                .findFirst()
                .orElse(-1);
    }
}
