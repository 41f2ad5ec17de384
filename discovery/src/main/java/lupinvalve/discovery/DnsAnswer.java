package lupinvalve.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * What a resolver says about a question.
 *
 * @param records the records asked for; empty unless the kind is {@link Kind#RECORDS}
 * @param additional records that were not asked for
 * @param reason why nothing is known; empty if something is
 */
record DnsAnswer(Kind kind, List<Record> records, List<Record> additional, String reason) {
    /** Kinds of answers. */
    enum Kind {
        /** There are such records. */
        RECORDS,
        /** The name has no records of this type. */
        NO_DATA,
        /** The name does not exist, so it has no records of any type. */
        NO_NAME,
        /** The resolver has responded, but with an error or with nothing that can be used. */
        FAILED,
        /** No response has come. */
        NO_RESPONSE
    }

    /** Aliases that are followed from the name of a question to its records. */
    private static final int MAX_ALIASES = 8;

    static DnsAnswer failed(String reason) {
        return new DnsAnswer(Kind.FAILED, List.of(), List.of(), reason);
    }

    static DnsAnswer ofRecords(List<Record> records) {
        return new DnsAnswer(Kind.RECORDS, records, List.of(), "");
    }

    static DnsAnswer noResponse(String reason) {
        return new DnsAnswer(Kind.NO_RESPONSE, List.of(), List.of(), reason);
    }

    /** Whether nothing is known by it. */
    boolean hasFailed() {
        return kind == Kind.FAILED || kind == Kind.NO_RESPONSE;
    }

    boolean hasResponse() {
        return kind != Kind.NO_RESPONSE;
    }

    /** Whether two answers say the same about the records asked for. */
    boolean saysTheSameAs(DnsAnswer other) {
        return other != null && kind == other.kind && Set.copyOf(records).equals(Set.copyOf(other.records));
    }

    /** Reads a message as the answer to a question. */
    static DnsAnswer read(DnsQuestion question, Message message) {
        Record asked = message.getQuestion();
        if (!message.getHeader().getFlag(Flags.QR)) {
            return failed("not an answer");
        }
        if (asked == null || !asked.getName().equals(question.name()) || asked.getType() != question.type()) {
            return failed("an answer to another question");
        }
        if (message.getHeader().getFlag(Flags.TC)) {
            return failed("the answer is truncated");
        }
        return switch (message.getRcode()) {
            case Rcode.NOERROR -> readRecords(question, message);
            case Rcode.NXDOMAIN -> new DnsAnswer(Kind.NO_NAME, List.of(), List.of(), "");
            default -> failed(Rcode.string(message.getRcode()));
        };
    }

    private static DnsAnswer readRecords(DnsQuestion question, Message message) {
        Name name = question.name();
        Set<Name> aliases = new HashSet<>();
        while (true) {
            List<Record> records = records(message, name, question.type()).toList();
            if (!records.isEmpty()) {
                return new DnsAnswer(Kind.RECORDS, records, message.getSection(Section.ADDITIONAL), "");
            }
            Record alias = records(message, name, Type.CNAME).findFirst().orElse(null);
            if (alias == null) {
                return withoutRecords(message, !aliases.isEmpty());
            }
            if (!aliases.add(name) || aliases.size() > MAX_ALIASES) {
                return failed("its aliases are a loop or too many");
            }
            name = ((CNAMERecord) alias).getTarget();
        }
    }

    private static Stream<Record> records(Message message, Name name, int type) {
        return message.getSection(Section.ANSWER).stream()
                .filter(record -> record.getType() == type
                        && record.getDClass() == DClass.IN
                        && record.getName().equals(name));
    }

    /** Distinguishes a name without records from an answer that refers to other name servers or ends with an alias. */
    private static DnsAnswer withoutRecords(Message message, boolean hasAlias) {
        List<Record> authority = message.getSection(Section.AUTHORITY);
        boolean hasStartOfAuthority = authority.stream().anyMatch(record -> record.getType() == Type.SOA);
        boolean hasNameServers = authority.stream().anyMatch(record -> record.getType() == Type.NS);
        boolean isReferral = hasNameServers && !message.getHeader().getFlag(Flags.AA);
        if (!hasStartOfAuthority && (isReferral || hasAlias)) {
            return failed(isReferral ? "a referral to other name servers" : "an alias without its target's records");
        }
        return new DnsAnswer(Kind.NO_DATA, List.of(), List.of(), "");
    }
}
