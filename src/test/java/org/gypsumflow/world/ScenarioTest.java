package org.gypsumflow.world;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the Gherkin scenarios against the production code of entries and agents on a virtual clock. */
@CucumberOptions(features = "classpath:scenarios", glue = "org.gypsumflow.world", plugin = "summary", publish = false)
public final class ScenarioTest extends AbstractTestNGCucumberTests {}
