package lupinvalve.capacity;

import java.nio.charset.StandardCharsets;
import lupinvalve.subscription.DocumentDelta;

/** Sizes of the differences that the program's own code computes between documents. */
final class DocumentDifferences {
    private static final int CHANGED_ENTRIES = 3;

    private DocumentDifferences() {}

    /**
     * Returns the size in bytes of the difference when three databases change that are a quarter of the document apart.
     */
    static double farApart(int databases, int bytesEach) {
        byte[] before = document(databases, bytesEach);
        byte[] after = before.clone();
        for (int place = 1; place <= CHANGED_ENTRIES; place++) {
            int entry = databases * place / (CHANGED_ENTRIES + 1);
            after[entry * bytesEach + bytesEach / 2]++;
        }
        return DocumentDelta.between(before, after).sizeBytes();
    }

    /** Creates a document whose entries differ in their numbers, as real names and addresses do. */
    private static byte[] document(int databases, int bytesEach) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < databases; i++) {
            String name = String.format("{\"name\":\"orders-%04d\",", i);
            out.append(name).append(".".repeat(Math.max(0, bytesEach - name.length())));
        }
        return out.toString().getBytes(StandardCharsets.US_ASCII);
    }
}
