package lupinvalve.discovery;

import org.xbill.DNS.Name;
import org.xbill.DNS.Type;

/**
 * A question to a resolver.
 *
 * @param name the name that it is about; compared without regard to case
 * @param type the type of the records that it asks for
 */
record DnsQuestion(Name name, int type) {
    @Override
    public String toString() {
        return name + " " + Type.string(type);
    }
}
