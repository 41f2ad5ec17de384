package lupinvalve.statemachine;

import java.io.IOException;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * A member of the group: its name and the disk that it remembers by. Who has lost the disk under the old name is
 * another one, so that it can't vote as if it remembered.
 */
public record MemberId(String name, String diskId) implements Comparable<MemberId> {
    /** Members of a group at most. */
    public static final int MAX_MEMBERS = 15;

    @Override
    public int compareTo(MemberId other) {
        int order = name.compareTo(other.name);
        return order != 0 ? order : diskId.compareTo(other.diskId);
    }

    @Override
    public String toString() {
        return name + "/" + diskId;
    }

    public static void writeAll(Cbor.Writer out, Collection<MemberId> all) {
        out.number(all.size());
        all.forEach(one -> out.text(one.name).text(one.diskId));
    }

    public static Set<MemberId> readAll(Cbor.Reader in) throws IOException {
        Set<MemberId> all = new TreeSet<>();
        for (int left = in.count(4 * MAX_MEMBERS); left > 0; left--) {
            all.add(new MemberId(in.text(), in.text()));
        }
        return all;
    }
}
