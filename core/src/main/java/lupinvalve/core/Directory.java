package lupinvalve.core;

import java.util.List;
import java.util.Map;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.ListForm;

/** Tells of db nodes, through {@link Pooler#listed}. Called by the core thread. */
public interface Directory {
    /** A db node as listed, with the address to dial for each protocol by name. */
    record Entry(Endpoint member, Map<String, String> addresses) {}

    /**
     * One change of the list.
     *
     * @param notifiedSinceMicros the earliest time at which it may have been told: a departure binds from then on
     */
    record News(ListForm form, List<Entry> entries, long notifiedSinceMicros) {
        /** News that may have been told long ago, unless it is an update. */
        public News(ListForm form, List<Entry> entries) {
            this(form, entries, form == ListForm.UPDATE ? Long.MAX_VALUE : Long.MIN_VALUE);
        }
    }

    /** Asks for changes from now on, or stops them; each call or its failure brings news. */
    void subscribe(boolean active);

    /** Asks for the whole list once. */
    void fetch();

    /**
     * Up to when all that was told is known to the core: what is told later has not been, when the work in hand was
     * begun.
     */
    default long knownUpTo() {
        return Long.MAX_VALUE;
    }
}
