package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lupinvalve.config.Database;
import lupinvalve.config.OperatorConfig;
import org.apache.commons.math3.random.Well19937c;
import org.junit.jupiter.api.Test;

/**
 * Generated configurations are valid, have the requested number of databases with entries of realistic length, and
 * differ in at most three entries from the previous one.
 */
class DocumentsTest {
    @Test
    void documentsAreValidAndDifferInAtMostThreeEntries() throws Exception {
        Documents documents = new Documents(1_200, new Well19937c(3));
        byte[] first = documents.next();
        assertEquals(Optional.empty(), OperatorConfig.validationError(first));
        assertTrue(first.length / 1_200 >= 150 && first.length / 1_200 <= 220, first.length + " bytes");
        List<Database> before = OperatorConfig.read(first).databases();
        for (int i = 0; i < 20; i++) {
            List<Database> after =
                    new ArrayList<>(OperatorConfig.read(documents.next()).databases());
            assertEquals(1_200, after.size());
            List<Database> changed = new ArrayList<>(after);
            changed.removeAll(before);
            assertTrue(changed.size() <= 3, changed.size() + " entries differ");
            before = after;
        }
    }
}
