/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.overload.GatheredCapacity;
import org.larkkeel.relay.AnswerEnd;
import org.larkkeel.relay.AnswerFraming;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.UpstreamPath;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/** Tests of {@link RelayFactLog}. */
public class RelayFactLogTest {
  /** Text that callers may have crafted to forge log lines. */
  public static class Hostile {
    @Test
    public void canNotEndLineOrField() {
      assertEquals(
          RelayFactLog.id("a\nevent=x\" b=c" + (char) 0 + (char) 0x20ac), "a?event=x??b=c??");
    }

    @Test
    public void isTruncated() {
      assertEquals(RelayFactLog.id("x".repeat(10_000)).length(), 160);
    }
  }

  /** Lines of attempts whose connection broke. */
  public static class BrokenAttempt {
    @Test
    public void namesTheRequestAndTheSharedPartsOfItsPrompt() {
      Fingerprint request = new Fingerprint(0, 1);
      ImmutableList<Fingerprint> parts =
          ImmutableList.of(new Fingerprint(0, 2), new Fingerprint(0, 3));
      assertEquals(
          line(
              new RelayFact.AttemptBroken(
                  "c-1",
                  new AttemptId(4),
                  UpstreamIncarnation.unknown(new UpstreamName("run-1")),
                  request,
                  parts,
                  2,
                  90_000_000,
                  -1,
                  5)),
          "event=attempt_broken call=c-1 attempt=4 upstream=run-1 start=0 request="
              + request
              + " parts="
              + parts.get(0)
              + ","
              + parts.get(1)
              + " sends=2 sent_ms=90 begun_ms=none others=5");
    }
  }

  /** Lines of answers that ended with their connection. */
  public static class EndedAnswer {
    @Test
    public void namesThePathTheOtherEndAndTheSize() {
      assertEquals(
          line(
              new RelayFact.AnswerEnded(
                  "c-1",
                  new AttemptId(4),
                  new UpstreamName("run-1"),
                  UpstreamPath.TUNNEL,
                  "10.1.0.35:7115",
                  AnswerFraming.CONNECTION,
                  512,
                  AnswerEnd.CONNECTION_LOST,
                  90_000_000)),
          "event=answer_ended call=c-1 attempt=4 upstream=run-1 path=TUNNEL remote=10.1.0.35:7115"
              + " framing=CONNECTION bytes=512 end=CONNECTION_LOST sent_ms=90");
    }
  }

  private static String line(RelayFact fact) {
    Logger logger = (Logger) LoggerFactory.getLogger("relay");
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    logger.addAppender(lines);
    new RelayFactLog().accept(fact);
    logger.detachAppender(lines);
    return lines.list.getFirst().getFormattedMessage();
  }

  /** Lines of calls that compete for capacity. */
  public static class Rank {
    @Test
    public void overloadDecisionNamesItsInputs() {
      assertEquals(
          line(
              new RelayFact.OverloadDecided(
                  "c-1",
                  "model",
                  "2.2",
                  RelayFact.OverloadDecided.Decision.REJECT,
                  3_000_000_000L,
                  50_000_000L,
                  3_100)),
          "event=overload_decided call=c-1 service=model rank=2.2 decision=reject"
              + " forecast_ms=3000 margin_ms=50 retry_after_ms=3100");
    }

    @Test
    public void returnPromiseNamesItsChange() {
      assertEquals(
          line(
              new RelayFact.ReturnPromise("c-1", "model", RelayFact.ReturnPromise.Change.RETURNED)),
          "event=return_promise call=c-1 service=model change=returned");
    }

    @Test
    public void isNamedWithoutWhenWaitContinues() {
      assertEquals(
          line(new RelayFact.WaitContinued("c", "model", 5_000, 8_000_000)),
          "event=wait_continued call=c service=model need=5000 waited_ms=8");
    }

    @Test
    public void isNamedWhenAnEngineIsDedicated() {
      UpstreamName engine = new UpstreamName("u");
      assertEquals(
          line(new RelayFact.EngineDedicated("c", "model", new CallRank(0, 2), engine, 5_000, 1)),
          "event=engine_dedicated call=c service=model rank=0.2 upstream=u free=5000 dedicated=1");
      assertEquals(
          line(
              new RelayFact.DedicationEnded(
                  "c", "model", engine, GatheredCapacity.EndReason.CALL_ENDED, 8_000_000)),
          "event=dedication_ended call=c service=model upstream=u reason=call_ended ms=8");
    }

    @Test
    public void isNamedOnAdmissionWaitAndGrant() {
      CallRank rank = new CallRank(0, 2);
      assertEquals(
          line(new RelayFact.Waiting("c", "model", rank, 5_000, 3)),
          "event=waiting call=c service=model rank=0.2 need=5000 waiting=3");
      assertEquals(
          line(
              new RelayFact.Admitted(
                  "c",
                  "r",
                  "model",
                  "w",
                  rank,
                  7,
                  900,
                  new CallSize(1, 2, 3),
                  false,
                  Optional.empty())),
          "event=admitted call=c rule=r service=model workspace=w rank=0.2 revision=7 left_ms=900"
              + " prompt=1 most_output=2 likely_output=3 resumes=false stream=");
      assertEquals(
          line(
              new RelayFact.ReservationGranted(
                  "c",
                  new HostName("n"),
                  rank,
                  "w",
                  new UpstreamName("u"),
                  "p",
                  5,
                  6,
                  7,
                  8_000_000)),
          "event=room_given call=c node=n rank=0.2 workspace=w upstream=u reader=p need=5 load=6"
              + " memory=7 waited_ms=8");
    }
  }
}
