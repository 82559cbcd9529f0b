/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.larkkeel.event.FailureCause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Memory at upstreams of runs that move: the handles of their copies are used or freed once. */
public class CopiesOfRunsTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);
  private static final MoveResult COPIED = new MoveResult.Copied("copy");

  private static int freed(RelayWorld w) {
    return w.of(RelayEffect.Free.class).size();
  }

  /** A stream whose upstream leaves, and which was asked to be copied. */
  private static RelayWorld copying(String path) {
    RelayWorld w = RelayWorld.usual();
    w.arrive(path, 14_000, SMALL);
    w.promptRead();
    w.began();
    w.leave(w.sent().upstream().id().value());
    w.pass(1_250);
    assertEquals(w.of(RelayEffect.Move.class).size(), 1);
    return w;
  }

  private static RelayWorld copying() {
    return copying("/stream/a");
  }

  /** A stream that was copied and stopped, and is to go on from the copy. */
  private static RelayWorld goesOn() {
    RelayWorld w = copying();
    w.moved(COPIED);
    w.lost();
    w.moved(COPIED);
    assertTrue(w.sent().purpose() instanceof RelayEffect.Purpose.Continue);
    return w;
  }

  private static String source(RelayWorld w) {
    return w.of(RelayEffect.Move.class).getLast().source().id().value();
  }

  private static String destination(RelayWorld w) {
    return w.of(RelayEffect.Move.class).getLast().destination().id().value();
  }

  private static List<String> handles(RelayWorld w) {
    return w.of(RelayEffect.Free.class).stream().map(RelayEffect.Free::handle).toList();
  }

  /** Copies that no run goes on from. */
  public static class Copies {
    @Test
    public void areFreedWhenTheCallerLeavesBeforeTheStopIsAnswered() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheyAreCompleteAfterTheCallerLeft() {
      RelayWorld w = copying();
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      w.moved(COPIED);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheRunEndsBeforeItIsStopped() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.answered(AnswerGrade.GOOD);
      w.moved(new MoveResult.NoRun());
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheStopFailsAndTheStreamIsCut() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.lost();
      w.moved(new MoveResult.Failed());
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheCallerLeavesBeforeTheRunGoesOn() {
      RelayWorld w = goesOn();
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheRunThatWouldGoOnIsDeclined() {
      RelayWorld w = goesOn();
      w.declined();
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }
  }

  /** Further ends of copies that no run goes on from. */
  public static class Ends {
    @Test
    public void areFreedAtTheSource() {
      RelayWorld w = goesOn();
      w.declined();
      assertEquals(w.of(RelayEffect.Free.class).getLast().source().id().value(), source(w));
    }

    @Test
    public void areFreedWhenTheRunThatWouldGoOnIsLost() {
      RelayWorld w = goesOn();
      w.lost();
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheRunThatWouldGoOnFails() {
      RelayWorld w = goesOn();
      w.answered(AnswerGrade.FAILED);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedAtTheDeadline() {
      RelayWorld w = goesOn();
      w.pass(14_100);
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheBudgetLetsNoRunGoOn() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.lost();
      w.apply(new RelayEvent.NodesCounted(w.now(), 1_000));
      w.moved(COPIED);
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheRunBeginsAnew() {
      RelayWorld w = copying("/resume/a");
      w.moved(COPIED);
      w.lost();
      w.moved(COPIED);
      w.declined();
      w.pass(800);
      w.began();
      w.answered(AnswerGrade.GOOD);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheStopIsNotAnsweredInTime() {
      RelayWorld w = copying();
      w.moved(new MoveResult.Copied("first"));
      w.pass(1_100);
      assertEquals(handles(w), List.of("first"));
      w.moved(new MoveResult.Copied("last"));
      assertEquals(handles(w), List.of("first", "last"));
    }

    @Test
    public void areFreedOnceIfBothStepsNameThemAlike() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      w.moved(COPIED);
      w.moved(COPIED);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheyAreCompleteAfterTheAnswer() {
      RelayWorld w = copying();
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
      w.moved(COPIED);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedAfterTheAttemptIsGivenUp() {
      RelayWorld w = goesOn();
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertTrue(w.effects.indexOf(new RelayEffect.Cancel(w.sent().attempt())) >= 0);
      assertTrue(
          w.effects.indexOf(new RelayEffect.Cancel(w.sent().attempt()))
              < w.effects.indexOf(w.of(RelayEffect.Free.class).getLast()));
    }
  }

  /** Copies that a run goes on from. */
  public static class Used {
    @Test
    public void areNotFreedWhenTheRunHasBegun() {
      RelayWorld w = goesOn();
      w.began();
      w.answered(AnswerGrade.GOOD);
      assertEquals(freed(w), 0);
    }

    @Test
    public void areNotFreedWhenTheRunHasNothingMoreToTell() {
      RelayWorld w = goesOn();
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
      assertEquals(freed(w), 0);
    }

    @Test
    public void areNotFreedWhenTheCallerLeavesAfterwards() {
      RelayWorld w = goesOn();
      w.began();
      w.apply(new RelayEvent.CallerLeft(w.now(), w.sent().call()));
      assertEquals(freed(w), 0);
    }

    @Test
    public void areNotFreedWhenTheRunIsLostAfterwards() {
      RelayWorld w = goesOn();
      w.began();
      w.lost();
      assertEquals(freed(w), 0);
    }

    @Test
    public void leaveNoOtherHandleBehind() {
      RelayWorld w = copying();
      w.moved(new MoveResult.Copied("first"));
      w.lost();
      w.moved(new MoveResult.Copied("last"));
      assertEquals(handles(w), List.of(), "the last step may build on the first");
      w.began();
      assertEquals(handles(w), List.of("first"));
      w.answered(AnswerGrade.GOOD);
      assertEquals(handles(w), List.of("first"));
    }
  }

  /** Copies whose source or destination starts again. */
  public static class Lives {
    private static final long LATER = 50;

    @Test
    public void areNotFreedAtTheNewLifeOfTheSourceWhileTheyAreMade() {
      RelayWorld w = copying();
      w.moved(COPIED);
      w.restart(source(w), LATER);
      w.moved(new MoveResult.Copied("last"));
      assertEquals(handles(w), List.of());
    }

    @Test
    public void areNotFreedAtTheNewLifeOfTheSourceBeforeTheRunGoesOn() {
      RelayWorld w = goesOn();
      w.restart(source(w), LATER);
      w.declined();
      assertEquals(handles(w), List.of());
    }

    @Test
    public void areNotFreedAtTheNewLifeOfSourcesThatWereGoneBetween() {
      RelayWorld w = goesOn();
      RelayEffect.Move move = w.of(RelayEffect.Move.class).getLast();
      w.remove(move.source().id().value());
      w.pass(2_000);
      w.tellUpstreams();
      w.add(move.source().id().value(), RelayWorld.MODEL, Stage.DECODE);
      w.restart(move.source().id().value(), LATER);
      w.declined();
      assertEquals(handles(w), List.of());
    }

    @Test
    public void areFreedWhenTheDestinationStartsAgainWhileTheyAreMade() {
      RelayWorld w = copying();
      w.restart(destination(w), LATER);
      w.moved(COPIED);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areFreedWhenTheDestinationStartsAgainBeforeTheRunGoesOn() {
      RelayWorld w = goesOn();
      w.restart(destination(w), LATER);
      assertEquals(w.of(RelayEffect.Cut.class).size(), 1);
      assertEquals(freed(w), 1);
    }

    @Test
    public void areNotMadeAnewWhileAnAnswerMayStillCome() {
      RelayWorld w = copying();
      w.restart(destination(w), LATER);
      w.pass(500);
      assertEquals(w.of(RelayEffect.Move.class).size(), 1);
      w.moved(new MoveResult.Failed());
      w.pass(500);
      assertEquals(w.of(RelayEffect.Move.class).size(), 2);
    }
  }

  /** Many runs that move, with news in any order. */
  public static class AnyOrder {
    private static final int RUNS = 3;
    private static final int NEWS = 40;
    private static final long SEEDS = 500;

    private final List<RelayEffect.Move> unanswered = new ArrayList<>();
    private final Set<String> made = new HashSet<>();
    private final Set<String> used = new HashSet<>();
    private RelayWorld world;
    private SplittableRandom random;
    private int seen;

    /** The seeds of the steps that are drawn. */
    @DataProvider
    public Object[][] seeds() {
      return LongStream.range(0, SEEDS).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void eachHandleIsUsedOrFreedOnce(long seed) {
      begin(seed);
      for (int i = 0; i < NEWS; i++) {
        world.pass(random.nextInt(200));
        see();
        tell();
        see();
      }
      end();
      Set<String> free = new HashSet<>(handles(world));
      assertEquals(free.size(), freed(world), "a handle was freed twice: " + handles(world));
      assertEquals(free, new HashSet<>(Sets.difference(made, used)));
      assertEquals(world.router.loads(), ImmutableMap.of());
    }

    private void begin(long seed) {
      unanswered.clear();
      made.clear();
      used.clear();
      seen = 0;
      random = new SplittableRandom(seed);
      world = RelayWorld.usual();
      for (int i = 0; i < RUNS; i++) {
        world.arrive(random.nextBoolean() ? "/stream/a" : "/resume/a", 14_000, SMALL);
        world.promptRead();
        world.began();
      }
      world.leave(world.sent().upstream().id().value());
      world.pass(1_250);
    }

    /** Notes the moves that were asked for since the last time. */
    private void see() {
      for (; seen < world.effects.size(); seen++) {
        if (world.effects.get(seen) instanceof RelayEffect.Move m) {
          unanswered.add(m);
        }
      }
    }

    private void tell() {
      if (!unanswered.isEmpty() && random.nextInt(3) > 0) {
        answerMove();
      } else {
        List<RelayEffect.Send> sends = world.of(RelayEffect.Send.class);
        tellOf(sends.get(random.nextInt(sends.size())));
      }
    }

    private void answerMove() {
      RelayEffect.Move m = unanswered.remove(random.nextInt(unanswered.size()));
      MoveResult result =
          switch (random.nextInt(6)) {
            case 0 -> new MoveResult.NoRun();
            case 1 -> new MoveResult.Failed();
            default -> new MoveResult.Copied("copy-" + made.size());
          };
      if (result instanceof MoveResult.Copied c) {
        made.add(c.handle());
      }
      world.apply(new RelayEvent.Moved(world.now(), m.attempt(), result));
    }

    private void tellOf(RelayEffect.Send s) {
      switch (random.nextInt(6)) {
        case 0 -> world.apply(new RelayEvent.CallerLeft(world.now(), s.call()));
        case 1 ->
            world.apply(
                new RelayEvent.Lost(world.now(), s.attempt(), FailureCause.CONNECTION_LOST));
        case 2 ->
            world.apply(new RelayEvent.Answered(world.now(), s.attempt(), AnswerGrade.FAILED));
        case 3 -> refuse(s);
        default -> beginRun(s);
      }
    }

    private void refuse(RelayEffect.Send s) {
      if (s.purpose() instanceof RelayEffect.Purpose.Continue c && !used.contains(c.handle())) {
        world.apply(new RelayEvent.Refused(world.now(), s.attempt(), RefusalCause.DECLINED));
      }
    }

    private void beginRun(RelayEffect.Send s) {
      int before = world.of(RelayEffect.Follow.class).size();
      world.apply(new RelayEvent.Began(world.now(), s.attempt()));
      boolean follows = world.of(RelayEffect.Follow.class).size() > before;
      if (follows && s.purpose() instanceof RelayEffect.Purpose.Continue c) {
        used.add(c.handle());
      }
    }

    /** Lets all calls end, then answers the moves that are left. */
    private void end() {
      for (RelayEffect.Send s : world.of(RelayEffect.Send.class)) {
        world.apply(new RelayEvent.CallerLeft(world.now(), s.call()));
      }
      see();
      while (!unanswered.isEmpty()) {
        answerMove();
      }
      world.pass(2_000);
    }
  }
}
