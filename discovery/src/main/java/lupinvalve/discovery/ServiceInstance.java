package lupinvalve.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.routing.EndpointState;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Type;

/**
 * One instance that the service names, and the db node that the newest answers about it describe. A record that does
 * not exist takes the db node off the list; an answer that is missing or malformed leaves it as last known. Not
 * thread-safe.
 */
final class ServiceInstance {
    private static final Comparator<SRVRecord> BY_PREFERENCE = Comparator.comparingInt(SRVRecord::getPriority)
            .thenComparing(Comparator.comparingInt(SRVRecord::getWeight).reversed())
            .thenComparing(SRVRecord::getTarget)
            .thenComparingInt(SRVRecord::getPort);

    private final Name name;
    private final InstanceReader reader;
    /** The attributes of the newest TXT answer; null if there is none. */
    private Map<String, String> attributes;

    private SRVRecord server;
    private String address;
    private boolean isAbsent;
    /** Whether its newest attributes are malformed. */
    private boolean isMalformed;

    private DiscoveredEndpoint endpoint;

    ServiceInstance(Name name, InstanceReader reader) {
        this.name = name;
        this.reader = reader;
    }

    Name name() {
        return name;
    }

    /** The db node as last known; null if it is not known or not available. */
    DiscoveredEndpoint endpoint() {
        return endpoint;
    }

    /** Whether one of its records does not exist, so that it is not available. */
    boolean isAbsent() {
        return isAbsent;
    }

    /** Whether nothing more can be learned by waiting: it is known, not available, or malformed. */
    boolean isSettled() {
        return endpoint != null || isAbsent || isMalformed;
    }

    /** Whether its TXT records have been answered, so that its id is known. */
    boolean isIdKnown() {
        return attributes != null;
    }

    /** Its id, or its label while that is not known. */
    String id() {
        return attributes == null ? InstanceReader.label(name) : InstanceReader.id(name, attributes);
    }

    /** The host that it runs on; null if that is not known. */
    Name host() {
        return server == null ? null : server.getTarget();
    }

    DnsQuestion serverQuestion() {
        return new DnsQuestion(name, Type.SRV);
    }

    DnsQuestion attributesQuestion() {
        return new DnsQuestion(name, Type.TXT);
    }

    /** The questions about it that an answer is needed to. */
    List<DnsQuestion> questions(Function<DnsQuestion, DnsAnswer> answers) {
        List<DnsQuestion> questions = new ArrayList<>(List.of(attributesQuestion(), serverQuestion()));
        Name host = host();
        if (host != null) {
            DnsQuestion addressQuestion = new DnsQuestion(host, Type.A);
            questions.add(addressQuestion);
            if (isKind(answers.apply(addressQuestion), DnsAnswer.Kind.NO_DATA)) {
                questions.add(new DnsQuestion(host, Type.AAAA));
            }
        }
        return questions;
    }

    private static boolean isKind(DnsAnswer answer, DnsAnswer.Kind kind) {
        return answer != null && answer.kind() == kind;
    }

    /** Whether an answer says that its records do not exist. */
    private static boolean deniesRecords(DnsAnswer answer) {
        return isKind(answer, DnsAnswer.Kind.NO_DATA) || isKind(answer, DnsAnswer.Kind.NO_NAME);
    }

    /**
     * Takes account of new answers.
     *
     * @param answers the newest answer to each question that says something, or null
     * @param problems receives what is malformed
     */
    void update(Function<DnsQuestion, DnsAnswer> answers, Consumer<String> problems) {
        DnsAnswer serverAnswer = answers.apply(serverQuestion());
        DnsAnswer attributesAnswer = answers.apply(attributesQuestion());
        if (isKind(attributesAnswer, DnsAnswer.Kind.RECORDS)) {
            attributes = InstanceReader.attributes(attributesAnswer.records());
        }
        if (isKind(serverAnswer, DnsAnswer.Kind.RECORDS)) {
            server = preferred(serverAnswer.records());
        }
        boolean hasNoServer = deniesRecords(serverAnswer)
                || server != null && server.getTarget().equals(Name.root);
        isAbsent = hasNoServer || deniesRecords(attributesAnswer) || host() != null && !updateAddress(answers);
        if (isAbsent) {
            endpoint = null;
        } else if (server != null && address != null && attributes != null) {
            describe(problems);
        } else if (endpoint != null) {
            endpoint = InstanceReader.withState(endpoint, knownState(endpoint));
        }
    }

    private static SRVRecord preferred(List<Record> records) {
        return records.stream().map(SRVRecord.class::cast).min(BY_PREFERENCE).orElseThrow();
    }

    /** Reads the address of the host; false if it has none. An address that is in use is kept while it is listed. */
    private boolean updateAddress(Function<DnsQuestion, DnsAnswer> answers) {
        DnsAnswer inet4 = answers.apply(new DnsQuestion(host(), Type.A));
        DnsAnswer inet6 = answers.apply(new DnsQuestion(host(), Type.AAAA));
        List<String> found = List.of();
        if (isKind(inet4, DnsAnswer.Kind.RECORDS)) {
            found = inet4.records().stream()
                    .map(record -> ((ARecord) record).getAddress().getHostAddress())
                    .toList();
        } else if (isKind(inet4, DnsAnswer.Kind.NO_DATA) && isKind(inet6, DnsAnswer.Kind.RECORDS)) {
            found = inet6.records().stream()
                    .map(record -> "[" + ((AAAARecord) record).getAddress().getHostAddress() + "]")
                    .toList();
        }
        if (found.isEmpty()) {
            address = null;
            return inet4 == null;
        }
        address = found.contains(address) ? address : found.get(0);
        return true;
    }

    private void describe(Consumer<String> problems) {
        try {
            endpoint = reader.read(name, server, address, attributes);
            isMalformed = false;
        } catch (IOException e) {
            isMalformed = true;
            problems.accept(e.getMessage());
            endpoint = endpoint == null ? null : InstanceReader.withState(endpoint, knownState(endpoint));
        }
    }

    /** The state that the attributes give to a db node whose other records are not known or malformed. */
    EndpointState knownState(DiscoveredEndpoint lastKnown) {
        try {
            return attributes == null ? lastKnown.endpoint().state() : InstanceReader.state(name, attributes);
        } catch (IOException e) {
            return lastKnown.endpoint().state();
        }
    }
}
