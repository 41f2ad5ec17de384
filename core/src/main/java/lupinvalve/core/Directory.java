package lupinvalve.core;

import java.util.List;
import java.util.Map;
import lupinvalve.Routing;

/** Tells of db nodes, through {@link Pooler#listed}. Called by the core thread. */
public interface Directory {
    /** A db node as listed, with the address to dial for each protocol by name. */
    record Entry(Routing.Member member, Map<String, String> addresses) {}

    /** One change of the list. */
    record News(Routing.ListForm form, List<Entry> entries) {}

    /** Asks for changes from now on, or stops them; each call or its failure brings news. */
    void subscribe(boolean active);

    /** Asks for the whole list once. */
    void fetch();
}
