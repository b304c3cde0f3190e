-- Guards against commits by a minority, and against a log that stays stopped afterwards.
cluster{voters = 3, standbys = 0, seed = 12, repair = false}
expect_within(3, function() return leader() end, "a first leader")
run(1)
crash("e1")
crash("e2")
run(1.5)
local before = answers()
expect_during(10, function() return leader() == nil and answers() == before end,
  "no leader and no answer without a quorum")
restart("e1")
expect_within(4, function() return answers() > before + 5 end, "answers return with the quorum")
