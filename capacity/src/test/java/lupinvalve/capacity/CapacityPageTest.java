package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The page's figures are those that follow from the file of slopes. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md"), SLOPES = Path.of("docs/capacity/slopes.json");

    private static List<Table> tables() throws IOException {
        return new CapacityModel(Demand.OPERATORS, Slopes.read(Files.readAllBytes(SLOPES))).tables();
    }

    @Test
    void eachFigureOfThePageFollowsFromTheSlopes() throws IOException {
        assertEquals(List.of(), CapacityPage.stale(Files.readString(PAGE), tables()),
                "run: java -jar lab/target/lupinvalve-lab.jar capacity");
    }

    @Test
    void aFigureThatWasChangedByHandIsFound() throws IOException {
        String page = Files.readString(PAGE);
        String changed = page.replace("| leases at a pooler | 190 B/s |", "| leases at a pooler | 19 B/s |");
        assertTrue(!changed.equals(page), "the figure to change is there");
        assertEquals(List.of("group"), CapacityPage.stale(changed, tables()));
    }

    @Test
    void anotherSlopeChangesThePage() throws IOException {
        List<Table> others = new CapacityModel(Demand.OPERATORS, EstimateTest.fixture()).tables();
        List<String> stale = CapacityPage.stale(Files.readString(PAGE), others);
        assertTrue(stale.containsAll(List.of("before-after", "runs")), stale.toString());
    }

    @Test
    void aTableWithoutItsMarkAndAMarkWithoutItsTableAreTurnedDown() throws IOException {
        List<Table> tables = tables();
        String page = Files.readString(PAGE);
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.render(page + "<!-- generated: group -->\n", tables));
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.render(page.replace("generated: group", "generated: troup"), tables));
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.render("nothing is generated here", tables));
    }
}
