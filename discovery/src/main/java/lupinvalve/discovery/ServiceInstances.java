package lupinvalve.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * The db nodes of a service as the newest answer to each question describes them. The service's PTR records say which
 * instances there are; each instance's records concern that instance alone.
 *
 * <p>Db nodes from a former list, whose instances are not known, stay listed while an instance that is not known well
 * enough may be theirs: one with their id or, where that is not known, with their id as its label. Where no label is
 * the id of such a db node, any instance whose id is not known may be theirs.
 *
 * <p>No I/O and no clock: callers pass the time in microseconds. Not thread-safe.
 */
final class ServiceInstances {
    /**
     * How long a db node from a former list stays listed because any instance may have its id. A departure must take
     * effect within 6 s, whatever else is not answered.
     */
    private static final long UNMATCHED_RETENTION_MICROS = 5_000_000;

    private final DnsQuestion serviceQuestion;
    private final InstanceReader reader;
    private final TreeMap<Name, ServiceInstance> instances = new TreeMap<>();
    /** The newest answer to each question that says something. */
    private final Map<DnsQuestion, DnsAnswer> answers = new HashMap<>();
    /** Questions that have failed and were never answered. */
    private final Set<DnsQuestion> failed = new HashSet<>();
    /** Db nodes from a former list, by id. */
    private final Map<String, DiscoveredEndpoint> former = new LinkedHashMap<>();

    /** The instances on each host. */
    private final Map<Name, Set<ServiceInstance>> byHost = new HashMap<>();

    /** Questions of the instances that have changed. */
    private final Set<DnsQuestion> changedQuestions = new LinkedHashSet<>();

    private final List<String> problems = new ArrayList<>();
    private boolean isNamed;
    private long namedAtMicros;
    /** Whether some label was the id of a db node from the former list when the instances were first named. */
    private boolean hasIdsAsLabels;

    ServiceInstances(Name service, InstanceReader reader) {
        serviceQuestion = new DnsQuestion(service, Type.PTR);
        this.reader = reader;
    }

    /** The question that names the instances. */
    DnsQuestion serviceQuestion() {
        return serviceQuestion;
    }

    /** Lists db nodes that were known before; to be called before the first answer. */
    void inherit(Collection<DiscoveredEndpoint> known) {
        known.forEach(discovered -> former.put(discovered.endpoint().node(), discovered));
    }

    /** Whether the resolver has said which instances there are. */
    boolean isNamed() {
        return isNamed;
    }

    /** Whether each instance is known, known not to be available, malformed, or has a question that fails. */
    boolean isComplete() {
        return isNamed
                && instances.values().stream()
                        .allMatch(instance -> instance.isSettled()
                                || instance.questions(answers::get).stream().anyMatch(failed::contains));
    }

    /** Whether a db node of a former list is still listed. */
    boolean hasFormer() {
        return !former.isEmpty();
    }

    /**
     * Records that a question has not been answered in time, or with an error; what is known about it stays.
     *
     * @return whether it was never answered and has not failed before
     */
    boolean failed(DnsQuestion question) {
        return !answers.containsKey(question) && failed.add(question);
    }

    /**
     * Records an answer that says something.
     *
     * @return whether it says something else than the one before
     */
    boolean answered(DnsQuestion question, DnsAnswer answer, long nowMicros) {
        failed.remove(question);
        boolean isNew = !answer.saysTheSameAs(answers.put(question, answer));
        if (isNew && question.equals(serviceQuestion)) {
            setInstances(answer.records());
            if (!isNamed) {
                isNamed = true;
                namedAtMicros = nowMicros;
                hasIdsAsLabels = instances.values().stream()
                        .anyMatch(instance -> former.containsKey(InstanceReader.label(instance.name())));
            }
        } else if (isNew) {
            ServiceInstance named = instances.get(question.name());
            List.copyOf(byHost.getOrDefault(question.name(), Set.of())).forEach(this::update);
            if (named != null) {
                update(named);
            }
        }
        return isNew;
    }

    private void update(ServiceInstance instance) {
        Name before = instance.host();
        instance.update(answers::get, problems::add);
        if (!Objects.equals(before, instance.host())) {
            removeFromHost(before, instance);
            byHost.computeIfAbsent(instance.host(), absent -> new HashSet<>()).add(instance);
        }
        changedQuestions.addAll(instance.questions(answers::get));
    }

    private void removeFromHost(Name host, ServiceInstance instance) {
        if (host != null) {
            byHost.computeIfPresent(
                    host, (name, onHost) -> onHost.remove(instance) && onHost.isEmpty() ? null : onHost);
        }
    }

    private void setInstances(List<Record> records) {
        Set<Name> named =
                records.stream().map(record -> ((PTRRecord) record).getTarget()).collect(Collectors.toSet());
        instances.values().removeIf(instance -> {
            boolean isGone = !named.contains(instance.name());
            if (isGone) {
                removeFromHost(instance.host(), instance);
            }
            return isGone;
        });
        named.forEach(name -> instances.computeIfAbsent(name, absent -> new ServiceInstance(name, reader)));
        changedQuestions.addAll(forgetUnneeded());
    }

    /** Forgets what was answered about names that no instance has any longer; returns the questions about instances. */
    Set<DnsQuestion> forgetUnneeded() {
        Set<DnsQuestion> needed = new LinkedHashSet<>();
        instances.values().forEach(instance -> needed.addAll(instance.questions(answers::get)));
        answers.keySet().removeIf(question -> !needed.contains(question) && !question.equals(serviceQuestion));
        failed.retainAll(needed);
        return needed;
    }

    /** Whether an answer to a question would say something about an instance. */
    boolean concerns(DnsQuestion question) {
        return instances.containsKey(question.name()) || byHost.containsKey(question.name());
    }

    /** Returns the questions about the instances that have changed since the last call. */
    Set<DnsQuestion> takeChangedQuestions() {
        Set<DnsQuestion> taken = new LinkedHashSet<>(changedQuestions);
        changedQuestions.clear();
        return taken;
    }

    /** Returns what was found to be malformed since the last call. */
    List<String> takeProblems() {
        List<String> taken = List.copyOf(problems);
        problems.clear();
        return taken;
    }

    /** The db nodes that are listed now, by id. */
    Map<String, DiscoveredEndpoint> endpoints(long nowMicros) {
        Map<String, DiscoveredEndpoint> listed = new LinkedHashMap<>();
        for (ServiceInstance instance : instances.values()) {
            if (instance.endpoint() != null) {
                listed.merge(instance.endpoint().endpoint().node(), instance.endpoint(), ServiceInstances::preferred);
            }
        }
        if (isNamed) {
            forgetFormer(listed.keySet(), nowMicros);
        }
        former.forEach(listed::putIfAbsent);
        return listed;
    }

    /** Of two instances with one id, the one that is in service, else the first. */
    private static DiscoveredEndpoint preferred(DiscoveredEndpoint first, DiscoveredEndpoint second) {
        Endpoint endpoint = first.endpoint();
        boolean isSecondLive = second.endpoint().state() == EndpointState.LIVE;
        return endpoint.state() != EndpointState.LIVE && isSecondLive ? second : first;
    }

    /** Removes db nodes of the former list that have an instance now, or that no instance can be. */
    private void forgetFormer(Set<String> known, long nowMicros) {
        former.keySet().removeAll(known);
        Map<String, ServiceInstance> candidates = new HashMap<>();
        boolean mayHaveAnyId = false;
        for (ServiceInstance instance : instances.values()) {
            if (instance.endpoint() == null && !instance.isAbsent()) {
                candidates.put(instance.id(), instance);
                mayHaveAnyId |= !hasIdsAsLabels && !instance.isIdKnown();
            }
        }
        if (!mayHaveAnyId || nowMicros - namedAtMicros >= UNMATCHED_RETENTION_MICROS) {
            former.keySet().retainAll(candidates.keySet());
        }
        former.replaceAll((id, discovered) -> {
            ServiceInstance candidate = candidates.get(id);
            return candidate == null
                    ? discovered
                    : InstanceReader.withState(discovered, candidate.knownState(discovered));
        });
    }
}
