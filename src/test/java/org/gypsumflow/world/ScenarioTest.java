package org.gypsumflow.world;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the scenarios of the test language against the real decision code on a virtual clock. */
@CucumberOptions(features = "classpath:scenarios", glue = "org.gypsumflow.world", plugin = "summary", publish = false)
public final class ScenarioTest extends AbstractTestNGCucumberTests {}
