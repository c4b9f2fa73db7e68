package org.gypsumflow.world;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import kodkod.engine.satlab.SATFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ModelTest {
    private static final String CLAIM_SCOPE =
            " for 2 but 2 Entry, 1 Agent, 1 Incarnation, 1 Zone, 2 Offset, 1..9 steps";
    private static final String START_SCOPE =
            " for 3 but 1 Entry, 2 Agent, 3 Incarnation, 1 Zone, 1 Offset, 1..10 steps";
    private static final String ZONE_SCOPE =
            " for 2 but 1 Entry, 2 Agent, 2 Incarnation, 2 Zone, 1 Offset, 1..10 steps";

    private static String specification() {
        try (InputStream file = ModelTest.class.getResourceAsStream("/model/dispatch.als")) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
    }

    private static boolean isSatisfiable(String text) {
        CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text);
        A4Options options = new A4Options();
        options.solver = SATFactory.DEFAULT;
        Command command = module.getAllCommands().get(0);
        return TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, module.getAllReachableSigs(), command, options)
                .satisfiable();
    }

    @DataProvider
    public static Object[][] assertions() {
        return new Object[][] {
            {"startsOnce", START_SCOPE},
            {"onlyTheFirstClaimStarts", CLAIM_SCOPE},
            {"oneHolder", CLAIM_SCOPE},
            {"abandonedNeverStarts", CLAIM_SCOPE},
            {"notRunIsTrue", START_SCOPE},
            {"nothingStartsAfterTheBound", ZONE_SCOPE},
        };
    }

    @DataProvider
    public static Object[][] mutants() {
        return new Object[][] {
            {
                "start before the claim is read back",
                "pred maySend[e: Entry] { e in Confirmed }",
                "pred maySend[e: Entry] { some e.claimed }",
                "onlyTheFirstClaimStarts",
                CLAIM_SCOPE
            },
            {
                "an abandoned claim that was appended late is used",
                "some e.claimed and e not in Abandoned and e not in Confirmed",
                "some e.claimed and e not in Confirmed",
                "abandonedNeverStarts",
                CLAIM_SCOPE
            },
            {
                "the task is placed elsewhere without a tombstone",
                "pred mayPlace { no Unresolved }",
                "pred mayPlace { some univ }",
                "startsOnce",
                START_SCOPE
            },
            {
                "a resolve that records no tombstone",
                "Tombstoned' = Tombstoned + l and Unresolved' = Unresolved - l\n  Sent' = Sent and Started'",
                "Tombstoned' = Tombstoned and Unresolved' = Unresolved - l\n  Sent' = Sent and Started'",
                "startsOnce",
                START_SCOPE
            },
            {
                "a new incarnation of an agent resolves a start of the earlier one",
                "l in Unresolved and l in Running and l not in Started",
                "l in Unresolved and (some n: Running | n.agent = l.agent and n not in Started)",
                "startsOnce",
                START_SCOPE
            },
            {
                "an agent that starts the task although its configuration is stale",
                "l.agent not in Stale and not (",
                "not (",
                "nothingStartsAfterTheBound",
                ZONE_SCOPE
            },
            {
                "an agent that received the closing and starts the task",
                "and not (l.agent in Informed and l.agent.zone in Closed)",
                "",
                "nothingStartsAfterTheBound",
                ZONE_SCOPE
            },
        };
    }

    @Test(dataProvider = "assertions")
    public void everyAssertionHoldsWithinItsScope(String assertion, String scope) {
        assertFalse(isSatisfiable(specification() + "\ncheck " + assertion + scope), assertion + " is violated");
    }

    @Test(dataProvider = "mutants")
    public void everyMutantIsCaught(String mutant, String original, String changed, String assertion, String scope) {
        assertTrue(specification().contains(original), "the mutant \"" + mutant + "\" does not match the model");
        String text = specification().replace(original, changed) + "\ncheck " + assertion + scope;
        assertTrue(isSatisfiable(text), "the mutant \"" + mutant + "\" is not caught by " + assertion);
    }

    @Test
    public void aTaskCanBeStartedAtAll() {
        assertTrue(isSatisfiable(specification() + "\nrun { eventually some Started }" + CLAIM_SCOPE));
    }

    @Test
    public void aTaskCanBeStartedElsewhereAfterATombstone() {
        String run = "\nrun { eventually (some Tombstoned and some Started) }";
        assertTrue(isSatisfiable(specification() + run + START_SCOPE));
    }
}
