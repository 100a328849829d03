# Numbers are analysed and looked up; tables change every second. 8 gateways, 700 calls per second, five minutes.
name    = "numbers"
length  = "300s"
regions = ["montreal", "saguenay"]

gateways {
  count = 8
}

pools {
  count      = 4
  setup_ms   = 2.8
  answer_ms  = 1.1
  release_ms = 0.9
  repeat_ms  = 0.5
  reject_ms  = 0.4
  lines      = 4000
}

skill "shift-lookup" {
  share    = 0.9
  target   = "2s"
  patience = "9s"
  value    = 1
  hold     = "9s"
}

skill "absence-report" {
  share    = 0.1
  target   = "1s"
  patience = "6s"
  value    = 8
  hold     = "7s"
}

load {
  rate = 700
}

numbers {
  change = "1s"
}
